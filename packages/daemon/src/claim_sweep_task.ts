/**
 * Deletes claims that have outlived their lifetime of a day. Only the VM that holds
 * the planner's lease does so.
 *
 * @module
 */

import {
  ClaimSweep,
  type ClaimSweepOptions,
  type Table,
} from "@poplarthread/coordination";
import { Task } from "./task.ts";

/** Runs the sweep; receives no messages. */
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
