import { id, type TargetId } from "@poplarthread/ids";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type Fingerprint,
  HeldBack,
  type HeldBackMessage,
} from "./held_back.ts";

const LIFETIME_MS = 600_000;

function fingerprint(name: string): Fingerprint {
  return name as Fingerprint;
}

function target(name: string): TargetId {
  return id<TargetId>(name);
}

describe("HeldBack", () => {
  // One request crashes whatever target runs it, and its caller sends it again
  // through another VM each time. Without the rule it takes the service down
  // target by target; with a rule too wide, its neighbours are refused with it.
  it("holds back after two deaths on all VMs, and nobody else", () => {
    const [a, b, c] = [new HeldBack(), new HeldBack(), new HeldBack()] as const;
    const poison = fingerprint("poison");
    const near = fingerprint("near");
    const first = a.targetDied(target("t1"), [poison, near], 0);
    for (const message of first) {
      b.hear(message, 10);
      c.hear(message, 10);
    }
    expect(b.verdict(poison, 20).kind).toBe("suspect");
    const second = b.targetDied(target("t2"), [poison], 5_000);
    // The news may come twice, and before the older news.
    [...second, ...second, ...first].forEach((message) =>
      c.hear(message, 5_010)
    );
    for (const vm of [b, c]) {
      expect(vm.verdict(poison, 5_020).kind).toBe("held-back");
      expect(vm.verdict(near, 5_020).kind).toBe("suspect");
    }
    expect(c.verdict(poison, 5_010 + LIFETIME_MS).kind).toBe("free");
  });

  // A page that many read is in flight on almost any target that dies. Were it
  // held back, everybody would lose the page.
  it("never holds back what a target has completed", () => {
    const vm = new HeldBack();
    const page = fingerprint("page");
    vm.targetDied(target("t1"), [page], 0);
    vm.completed(page, 3_000);
    vm.targetDied(target("t2"), [page], 5_000);
    vm.targetDied(target("t3"), [page], 10_000);
    expect(vm.verdict(page, 10_001).kind).toBe("free");
  });

  // A zone goes, and with it many targets at once. None of the requests that
  // were in flight there is to blame, and their callers send them again.
  it("blames no request for targets that die together", () => {
    const vm = new HeldBack();
    const requests = Array.from({ length: 12 }, (_, n) => fingerprint(`r${n}`));
    requests.forEach((request, n) =>
      vm.targetDied(target(`t${n}`), [request], n * 10)
    );
    requests.forEach((request, n) =>
      vm.targetDied(target(`u${n}`), [request], 500 + n * 10)
    );
    const verdicts = requests.map((request) => vm.verdict(request, 1_000).kind);
    expect(verdicts).not.toContain("held-back");
  });

  it("agrees with a plain count under any order of news", () => {
    const message: fc.Arbitrary<HeldBackMessage> = fc.record({
      kind: fc.constantFrom("coincided" as const, "completed" as const),
      fingerprint: fc.constantFrom("a", "b").map(fingerprint),
      target: fc.constantFrom("t1", "t2", "t3").map(target),
      remainingMs: fc.constantFrom(100, 1_000),
    });
    class Hear implements fc.Command<HeldBackMessage[], HeldBack> {
      readonly #message: HeldBackMessage;
      constructor(message: HeldBackMessage) {
        this.#message = message;
      }
      check = () => true;
      run(model: HeldBackMessage[], real: HeldBack): void {
        model.push(this.#message);
        real.hear(this.#message, 0);
        for (const name of [fingerprint("a"), fingerprint("b")]) {
          expect(real.verdict(name, 0).kind).toBe(expected(model, name));
        }
      }
    }
    const commands = fc.commands([message.map((news) => new Hear(news))]);
    fc.assert(
      fc.property(commands, (commands) => {
        const setup = () => ({ model: [], real: new HeldBack() });
        fc.modelRun(setup, commands);
      }),
      { seed: 6, numRuns: 200 },
    );
  });

  it("keeps a bounded table", () => {
    const vm = new HeldBack();
    for (let n = 0; n < 10_000; n++) {
      vm.targetDied(target("t"), [fingerprint(`r${n}`)], n * 5_000);
    }
    expect(vm.size).toBeLessThanOrEqual(4_096);
  });
});

function expected(news: readonly HeldBackMessage[], name: Fingerprint): string {
  const mine = news.filter(({ fingerprint }) => fingerprint === name);
  if (mine.some(({ kind }) => kind === "completed")) {
    return "free";
  }
  const deaths = mine.map((message) =>
    message.kind === "coincided" ? message.target : undefined
  );
  return ["free", "suspect", "held-back"][Math.min(2, new Set(deaths).size)]!;
}
