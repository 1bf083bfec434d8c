/**
 * Requests that crash their targets.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { TargetId } from "@poplarthread/ids";
import { CrashSuspects, type SuspectedCrash } from "./crash_suspects.ts";

const targets = ["t-1", "t-2", "t-3"] as TargetId[];

describe("a request that crashes each target", () => {
  test("is held back on all VMs after three", () => {
    // A draft trips a fault in the portal: each target that begins to render it
    // ends, and its reader reloads the page, at any VM. Without this, one reader
    // takes the service down target by target.
    const vms: CrashSuspects[] = [];
    const publish = (news: SuspectedCrash) =>
      vms.forEach((vm) => vm.heard(news, 0));
    vms.push(new CrashSuspects(publish), new CrashSuspects(publish));
    const digest = vms[0]!.digestOf("GET", "/read/a", undefined);
    targets.forEach((target, at) => {
      const vm = vms[at % 2]!;
      expect(vms.map((one) => one.heldBackMs(digest, 0))).toEqual([0, 0]);
      vm.broke(digest, target, 0);
      vm.crashed(target, 100);
    });
    for (const vm of vms) {
      expect(vm.heldBackMs(digest, 200)).toBeGreaterThan(1_000);
      expect(vm.heldBackMs(digest, 60_000)).toBe(0);
    }
  });

  test("is told from others by method, path and body", () => {
    const suspects = new CrashSuspects(() => undefined);
    const digests = new Set([
      suspects.digestOf("GET", "/a", undefined),
      suspects.digestOf("POST", "/a", undefined),
      suspects.digestOf("POST", "/b", undefined),
      suspects.digestOf("POST", "/a", Buffer.from("x")),
    ]);
    expect(digests.size).toBe(4);
  });
});

describe("a request whose connections are reset", () => {
  test("is not held back while its targets live", () => {
    // A network fault resets every second connection. A popular page is on many of
    // them; held back for that, nobody could read it any more.
    const suspects = new CrashSuspects(() => undefined);
    const digest = suspects.digestOf("GET", "/read/a", undefined);
    for (const target of targets) {
      suspects.broke(digest, target, 0);
    }
    expect(suspects.heldBackMs(digest, 100)).toBe(0);
  });

  test("is not blamed for a crash that comes much later", () => {
    const suspects = new CrashSuspects(() => undefined);
    const digest = suspects.digestOf("GET", "/read/a", undefined);
    for (const target of targets) {
      suspects.broke(digest, target, 0);
      suspects.crashed(target, 5_000);
    }
    expect(suspects.heldBackMs(digest, 5_000)).toBe(0);
  });
});
