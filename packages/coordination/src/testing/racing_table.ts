/**
 * A table for race tests: a scheduler decides when each transaction takes effect
 * and when its response arrives.
 *
 * @module
 */

import type { Table } from "../table.ts";

/** Decides the order of tasks; implemented by fast-check's scheduler. */
interface Scheduler {
  schedule<T>(task: Promise<T>): Promise<T>;
}

/** Wraps a table so that the scheduler orders its transactions. */
export function racingTable(table: Table, scheduler: Scheduler): Table {
  return {
    read: (keys) => table.read(keys),
    scan: (prefix, options) => table.scan(prefix, options),
    transact: async (transaction) => {
      await scheduler.schedule(Promise.resolve("takes effect"));
      const response = table.transact(transaction);
      await scheduler.schedule(Promise.allSettled([response]));
      return await response;
    },
  };
}
