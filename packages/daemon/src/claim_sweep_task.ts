/**
 * Deletes claims that have outlived their day, on one VM at a time: whichever
 * holds the planner's lease.
 *
 * @module
 */

import {
  ClaimSweep,
  type ClaimSweepOptions,
  type Table,
} from "@poplarthread/coordination";
import { Task } from "./task.ts";

/** Owns the sweep. It hears nothing. */
export class ClaimSweepTask extends Task<never> {
  readonly #sweep: ClaimSweep;

  constructor(table: Table, options: ClaimSweepOptions) {
    super("claim-sweep");
    this.#sweep = new ClaimSweep(table, options);
  }

  protected override open(): void {
    this.#sweep.start();
  }

  protected override receive(): void {}

  protected override close(): void {
    this.#sweep.stop();
  }
}
