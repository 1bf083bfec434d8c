/**
 * Tests of the tracking of requests that crash their targets.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { TargetId } from "@poplarthread/ids";
import { CrashSuspects, type SuspectedCrash } from "./crash_suspects.ts";

const targets = ["t-1", "t-2", "t-3"] as TargetId[];

describe("a request that crashes each target", () => {
  test("is held back on all VMs after three crashes", () => {
    // A page triggers a fault that crashes every target which renders it, and the
    // reader reloads it through any VM. If the request is not held back, one reader
    // takes down the service target by target.
    const vms: CrashSuspects[] = [];
    const publish = (crash: SuspectedCrash) =>
      vms.forEach((vm) => vm.recordReport(crash, 0));
    vms.push(new CrashSuspects({ publish }), new CrashSuspects({ publish }));
    const digest = vms[0]!.digestOf("GET", "/read/a", undefined);
    targets.forEach((target, index) => {
      const vm = vms[index % 2]!;
      expect(vms.map((each) => each.heldBackMs(digest, 0))).toEqual([0, 0]);
      vm.attemptBroke(digest, target, 0);
      vm.targetCrashed(target, 100);
    });
    for (const vm of vms) {
      expect(vm.heldBackMs(digest, 200)).toBeGreaterThan(1_000);
      expect(vm.heldBackMs(digest, 60_000)).toBe(0);
    }
  });

  test("is distinguished from others by method, path and body", () => {
    const suspects = new CrashSuspects({ publish: () => undefined });
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
  test("is not held back while its targets do not crash", () => {
    // A network fault resets every second connection. A popular page is affected by
    // many of these resets; if it were held back for them, no one could read it.
    const suspects = new CrashSuspects({ publish: () => undefined });
    const digest = suspects.digestOf("GET", "/read/a", undefined);
    for (const target of targets) {
      suspects.attemptBroke(digest, target, 0);
    }
    expect(suspects.heldBackMs(digest, 100)).toBe(0);
  });

  test("is not linked to a crash much later", () => {
    const suspects = new CrashSuspects({ publish: () => undefined });
    const digest = suspects.digestOf("GET", "/read/a", undefined);
    for (const target of targets) {
      suspects.attemptBroke(digest, target, 0);
      suspects.targetCrashed(target, 5_000);
    }
    expect(suspects.heldBackMs(digest, 5_000)).toBe(0);
  });
});

describe("a request that breaks on targets that then cannot be reached", () => {
  function breakOnAll(suspects: CrashSuspects): string {
    const digest = suspects.digestOf("GET", "/read/a", undefined);
    for (const target of targets) {
      suspects.attemptBroke(digest, target, 0);
      suspects.targetUnreachable(target, 10);
    }
    return digest;
  }

  test("is held back if this VM reaches other targets", () => {
    const published: SuspectedCrash[] = [];
    const suspects = new CrashSuspects({
      publish: (crash) => published.push(crash),
    });
    const digest = breakOnAll(suspects);
    suspects.settleUnreachable("reached", 200);
    expect(published).toEqual([]);
    suspects.settleUnreachable("reached", 400);
    expect(published.length).toBe(3);
    expect(suspects.heldBackMs(digest, 400)).toBeGreaterThan(1_000);
  });

  test("is not held back by any VM if this VM lost its own links", () => {
    const published: SuspectedCrash[] = [];
    const suspects = new CrashSuspects({
      publish: (crash) => published.push(crash),
    });
    const digest = breakOnAll(suspects);
    suspects.settleUnreachable("in-doubt", 400);
    suspects.settleUnreachable("cut-off", 600);
    suspects.settleUnreachable("reached", 1_000);
    expect(published).toEqual([]);
    expect(suspects.heldBackMs(digest, 1_000)).toBe(0);
  });
});

describe("a popular request", () => {
  // Guards against a hold-back of all its callers after a zone was lost.
  function fallTogether(suspects: CrashSuspects, now: number): string {
    const digest = suspects.digestOf("GET", "/read/popular", undefined);
    for (const target of targets) {
      suspects.attemptBroke(digest, target, now);
      suspects.targetCrashed(target, now + 100);
    }
    return digest;
  }

  test("is not held back when targets that ran it fall together", () => {
    const published: SuspectedCrash[] = [];
    const suspects = new CrashSuspects({
      publish: (crash) => published.push(crash),
    });
    const digest = suspects.digestOf("GET", "/read/popular", undefined);
    suspects.attemptSucceeded(digest, 900);
    fallTogether(suspects, 1_000);
    expect(published).toEqual([]);
    expect(suspects.heldBackMs(digest, 1_200)).toBe(0);
  });

  test("is no longer held back once another target responds to it", () => {
    const suspects = new CrashSuspects({ publish: () => undefined });
    const digest = fallTogether(suspects, 1_000);
    expect(suspects.heldBackMs(digest, 1_200)).toBeGreaterThan(1_000);
    suspects.attemptSucceeded(digest, 1_300);
    expect(suspects.heldBackMs(digest, 1_400)).toBe(0);
  });

  test("is held back if it begins to crash targets later", () => {
    const suspects = new CrashSuspects({ publish: () => undefined });
    const digest = suspects.digestOf("GET", "/read/popular", undefined);
    suspects.attemptSucceeded(digest, 0);
    fallTogether(suspects, 20_000);
    expect(suspects.heldBackMs(digest, 20_200)).toBeGreaterThan(1_000);
  });
});
