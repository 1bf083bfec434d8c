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

/** One VM's loans, what it sent and what its decisions were told. */
function vm(name: string) {
  const sent: SlotMessage[] = [];
  const told: SteeringEvent[] = [];
  const id = { vm: name as VmId, instance: `${name}.1` as InstanceId };
  const loans = new SlotLoans({
    instance: id.instance,
    send: (_, message) => sent.push(message),
    steer: (event) => told.push(event),
  });
  void loans.start({ failed: () => undefined });
  return { id, loans, sent, told };
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function lendAfterQuestion(delayMs: number) {
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

test("a grant that was held up on its way ends when the lender takes it back", () => {
  // A switch holds a grant back for most of its duration. Counted from its
  // arrival, the borrower would still send to the target after the lender has
  // the slot back: the target gets more than it has slots.
  const { lender, borrower } = lendAfterQuestion(700);
  expect(borrower.told).toEqual([{
    kind: "borrowed",
    from: "a",
    target: TARGET,
    slots: 1,
    durationMs: 200 + 990 - 900,
  }]);
  vi.advanceTimersByTime(290);
  expect(lender.told.map(({ kind }) => kind)).toEqual(["asked"]);
  vi.advanceTimersByTime(200);
  expect(lender.told.map(({ kind }) => kind)).toEqual(["asked", "loan-ended"]);
});

test("a grant that arrives after its end, or twice, lends nothing more", () => {
  // The link was cut for longer than the loan, or a message is repeated.
  expect(lendAfterQuestion(1_000).borrower.told).toEqual([]);
  const { lender, borrower, message } = lendAfterQuestion(0);
  borrower.loans.send({ kind: "peer", from: lender.id, message });
  expect(borrower.told).toHaveLength(1);
});

test("a slot that is given back is the lender's again once", () => {
  const { lender, borrower } = lendAfterQuestion(0);
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
  const ends = lender.told.filter(({ kind }) => kind === "loan-ended");
  expect(ends).toHaveLength(1);
});
