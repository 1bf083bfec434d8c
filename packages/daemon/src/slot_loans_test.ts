import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { SteeringEvent } from "@poplarthread/decisions";
import type {
  InstanceId,
  RegionId,
  ServiceId,
  TargetId,
  VmId,
} from "@poplarthread/ids";
import type { SlotMessage } from "./peers/messages.ts";
import { SlotLoans } from "./slot_loans.ts";

const TARGET = "t1" as TargetId;

/** The loans of one VM, the messages it sent and the events passed to its steering. */
function vm(name: string) {
  const sent: SlotMessage[] = [];
  const steeringEvents: SteeringEvent[] = [];
  const id = { vm: name as VmId, instance: `${name}.1` as InstanceId };
  const loans = new SlotLoans({
    instance: id.instance,
    send: (_, message) => sent.push(message),
    steer: (event) => steeringEvents.push(event),
  });
  void loans.start({ failed: () => undefined });
  return { id, loans, sent, steeringEvents };
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function lendAfterAsk(delayMs: number) {
  const lender = vm("a");
  const borrower = vm("b");
  borrower.loans.send({
    kind: "effect",
    effect: {
      kind: "ask",
      to: lender.id.vm,
      service: "shop" as ServiceId,
      region: "one" as RegionId,
      slots: 1,
      rank: 0,
      rankWaitMs: 0,
      waitMs: 0,
    },
  });
  lender.loans.send({
    kind: "peer",
    from: borrower.id,
    message: borrower.sent[0]!,
  });
  vi.advanceTimersByTime(200);
  const lend = { target: TARGET, slots: 1, durationMs: 1_000 };
  lender.loans.send({
    kind: "effect",
    effect: { kind: "lend", to: borrower.id.vm, ...lend },
  });
  vi.advanceTimersByTime(delayMs);
  const message = lender.sent[0]!;
  borrower.loans.send({ kind: "peer", from: lender.id, message });
  return { lender, borrower, message };
}

test("a delayed grant ends no later than the lender uses the slot again", () => {
  // The network delays a grant for most of its duration. With the duration counted
  // from its arrival, the borrower would still use the slot after the lender uses it
  // again, and the target would get more requests than it has slots.
  const { lender, borrower } = lendAfterAsk(700);
  expect(borrower.steeringEvents).toEqual([{
    kind: "borrowed",
    from: "a",
    target: TARGET,
    slots: 1,
    durationMs: 200 + 990 - 900,
  }]);
  vi.advanceTimersByTime(290);
  expect(lender.steeringEvents.map(({ kind }) => kind)).toEqual(["asked"]);
  vi.advanceTimersByTime(200);
  expect(lender.steeringEvents.map(({ kind }) => kind)).toEqual([
    "asked",
    "loan-ended",
  ]);
});

test("a grant that arrives after its end, or a second time, has no effect", () => {
  // The link was down for longer than the loan, or a message is duplicated.
  expect(lendAfterAsk(1_000).borrower.steeringEvents).toEqual([]);
  const { lender, borrower, message } = lendAfterAsk(0);
  borrower.loans.send({ kind: "peer", from: lender.id, message });
  expect(borrower.steeringEvents).toHaveLength(1);
});

test("a returned slot ends the loan exactly once", () => {
  const { lender, borrower } = lendAfterAsk(0);
  borrower.loans.send({
    kind: "effect",
    effect: { kind: "give-back", to: lender.id.vm, target: TARGET, slots: 1 },
  });
  const message = borrower.sent[1]!;
  expect(message.kind).toBe("give-back");
  for (let n = 0; n < 2; n++) {
    lender.loans.send({ kind: "peer", from: borrower.id, message });
  }
  vi.advanceTimersByTime(2_000);
  const ends = lender.steeringEvents.filter(({ kind }) =>
    kind === "loan-ended"
  );
  expect(ends).toHaveLength(1);
});
