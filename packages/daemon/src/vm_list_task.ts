/**
 * Polls the platform's list of VMs.
 *
 * @module
 */

import { TableError } from "@poplarthread/coordination";
import type { ListedVm, PlatformClient } from "./platform_client.ts";
import { Task } from "./task.ts";

/** Messages of the task. */
export type VmListMessage =
  | { readonly kind: "tick" }
  /** Whether this VM is one of its zone's readers. */
  | { readonly kind: "reader"; readonly reader: boolean };

/** Options of {@link VmListTask}. */
export interface VmListOptions {
  readonly platform: PlatformClient;
  readonly onList: (vms: readonly ListedVm[]) => void;
}

/**
 * Readers poll often, so that a leaving target is detected within a second; the
 * other VMs rely on the facts that readers publish and poll only to find missed ones.
 * Three readers in each of 25 zones at 500 ms make 150 reads a second.
 */
const READER_INTERVAL_MS = 500;
const OTHER_INTERVAL_MS = 5_000;

/** Polls the list at the interval of a reader or of another VM. */
export class VmListTask extends Task<VmListMessage> {
  readonly #options: VmListOptions;
  #isReader = true;
  #readAt = -Infinity;
  #isReading = false;

  constructor(options: VmListOptions) {
    super("vm-list");
    this.#options = options;
  }

  protected override open(): void {
    this.#isReading = false;
    this.sendEvery(READER_INTERVAL_MS, { kind: "tick" });
    this.#readAt = -Infinity;
    this.#read();
  }

  protected override receive(message: VmListMessage): void {
    switch (message.kind) {
      case "tick":
        this.#read();
        return;
      case "reader":
        this.#isReader = message.reader;
        return;
    }
  }

  protected override close(): void {}

  #read(): void {
    const now = performance.now();
    const periodMs = this.#isReader ? READER_INTERVAL_MS : OTHER_INTERVAL_MS;
    // A tick that fires slightly early must not skip a complete period.
    if (this.#isReading || now - this.#readAt < periodMs * 0.9) {
      return;
    }
    this.#isReading = true;
    this.#readAt = now;
    this.spawn(this.#readOnce());
  }

  async #readOnce(): Promise<void> {
    try {
      this.#options.onList(await this.#options.platform.listVms());
    } catch (err) {
      if (!(err instanceof TableError)) {
        throw err;
      }
    } finally {
      this.#isReading = false;
    }
  }
}
