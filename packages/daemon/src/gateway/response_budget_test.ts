import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { budgetBytesFor, ResponseBudget } from "./response_budget.ts";

/** The budget of the users' small VMs, with the usual size of the process. */
const SMALL_VM_BUDGET_BYTES = budgetBytesFor({
  memoryBytes: 250_000_000,
  residentBytes: 100_000_000,
});
/** The largest responses of the users' deployments. */
const LARGEST_BYTES = 540_000;
const DOWNLOAD = "bundle-fetch";
const QUERY = "balance-query";

describe("the budget for responses", () => {
  // A hundred callers read slowly on a small VM. Their responses must fit, or their
  // targets cut them off; beside them, requests must be served as before.
  test("holds the largest responses of a hundred slow callers on a small VM", () => {
    const budget = new ResponseBudget();
    budget.setTotal(SMALL_VM_BUDGET_BYTES);
    for (let caller = 0; caller < 100; caller++) {
      const hold = budget.open(DOWNLOAD);
      hold.reserve();
      expect(hold.mayGrow(LARGEST_BYTES)).toBe(true);
      hold.resize(LARGEST_BYTES);
      hold.recordSize(LARGEST_BYTES);
    }
    expect(budget.admits(DOWNLOAD)).toBe(true);
    expect(budget.heldBytes).toBe(100 * LARGEST_BYTES);
  });

  // Callers that read nothing use up the memory. A VM over its limit is killed, with
  // the requests of everybody else.
  test("is never exceeded, whichever responses grow and end in whichever order", () => {
    const step = fc.record({
      index: fc.nat(19),
      bytes: fc.integer({ min: 20_000, max: 2_000_000 }),
      isEnd: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const budget = new ResponseBudget();
      budget.setTotal(SMALL_VM_BUDGET_BYTES / 10);
      const holds = Array.from({ length: 20 }, () => budget.open(DOWNLOAD));
      const sizes = holds.map(() => 0);
      for (const { index, bytes, isEnd } of steps) {
        if (isEnd) {
          holds[index]!.release();
          sizes[index] = 0;
        } else if (holds[index]!.mayGrow(bytes)) {
          sizes[index]! += bytes;
          holds[index]!.resize(sizes[index]!);
        }
        expect(budget.heldBytes).toBe(sizes.reduce((sum, one) => sum + one, 0));
        expect(budget.freeBytes).toBeGreaterThanOrEqual(0);
      }
    }));
  });

  // Without memory for downloads, everything else is still served.
  test("used up, refuses only requests whose responses are large", () => {
    const budget = new ResponseBudget();
    const hold = budget.open(DOWNLOAD);
    hold.recordSize(LARGEST_BYTES);
    budget.open(QUERY).recordSize(500);
    budget.setTotal(1_000_000);
    hold.resize(1_000_000);
    expect(budget.admits(DOWNLOAD)).toBe(false);
    expect(budget.admits(QUERY)).toBe(true);
  });

  // The process is close to the VM's memory, whatever the budget says.
  test("refuses every request and holds no more while memory is short", () => {
    let isShort = false;
    const budget = new ResponseBudget(() => isShort);
    const hold = budget.open(QUERY);
    expect(budget.admits(QUERY)).toBe(true);
    expect(hold.mayGrow(LARGEST_BYTES)).toBe(true);
    isShort = true;
    expect(budget.admits(QUERY)).toBe(false);
    expect(hold.mayGrow(LARGEST_BYTES)).toBe(false);
  });

  // Requests sent at the same moment must not all count on the same free memory.
  test("reserves room for responses that have not arrived", () => {
    const budget = new ResponseBudget();
    budget.open(DOWNLOAD).recordSize(LARGEST_BYTES);
    budget.setTotal(1_000_000);
    let sent = 0;
    while (budget.admits(DOWNLOAD)) {
      budget.open(DOWNLOAD).reserve();
      sent += 1;
    }
    expect(sent).toBe(7);
  });

  // A target that stays paused after memory has become free cuts its response off.
  test("resumes the response that was paused first when memory becomes free", () => {
    const budget = new ResponseBudget();
    budget.setTotal(1_000_000);
    const [large, first, second] = [0, 1, 2].map(() => budget.open(DOWNLOAD));
    large!.resize(1_000_000);
    const resumed: string[] = [];
    first!.pause(() => resumed.push("first"));
    second!.pause(() => resumed.push("second"));
    second!.release();
    expect(resumed).toEqual([]);
    large!.release();
    expect(resumed).toEqual(["first"]);
  });
});
