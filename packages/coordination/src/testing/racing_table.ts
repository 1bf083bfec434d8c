/**
 * A table for tests of races: a scheduler decides when each transaction takes
 * effect and when its answer arrives.
 *
 * @module
 */

import type { Table } from "../table.ts";

/** What decides the order; fast-check's scheduler is one. */
interface Scheduler {
  schedule<T>(task: Promise<T>): Promise<T>;
}

/** The same table with its transactions in the scheduler's hands. */
export function racingTable(table: Table, scheduler: Scheduler): Table {
  return {
    read: (keys) => table.read(keys),
    scan: (prefix, options) => table.scan(prefix, options),
    transact: async (transaction) => {
      await scheduler.schedule(Promise.resolve("takes effect"));
      const answer = table.transact(transaction);
      await scheduler.schedule(Promise.allSettled([answer]));
      return await answer;
    },
  };
}
