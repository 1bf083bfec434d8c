/**
 * Reads the platform's list of VMs now and then.
 *
 * @module
 */

import { TableError } from "@poplarthread/coordination";
import type { ListedVm, PlatformClient } from "./platform_client.ts";
import { Task } from "./task.ts";

/** What the task is told. */
export type VmListMessage =
  | { readonly kind: "tick" }
  /** Whether this VM is one of its zone's readers. */
  | { readonly kind: "reader"; readonly reader: boolean };

/** Construction of the task. */
export interface VmListOptions {
  readonly platform: PlatformClient;
  readonly onList: (vms: readonly ListedVm[]) => void;
}

/**
 * Readers look often, so that a leaving target is noticed within a second; the
 * others rely on what readers spread and look only to catch what was missed.
 * Three readers in each of 25 zones at 500 ms are 150 reads a second.
 */
const READER_MS = 500;
const OTHER_MS = 5_000;

/** Polls the list. */
export class VmListTask extends Task<VmListMessage> {
  readonly #options: VmListOptions;
  #reader = true;
  #readAt = -Infinity;
  #reading = false;

  constructor(options: VmListOptions) {
    super("vm-list");
    this.#options = options;
  }

  protected override open(): void {
    this.#reading = false;
    this.sendEvery(READER_MS, { kind: "tick" });
    this.#readAt = -Infinity;
    this.#read();
  }

  protected override receive(message: VmListMessage): void {
    switch (message.kind) {
      case "tick":
        this.#read();
        return;
      case "reader":
        this.#reader = message.reader;
        return;
    }
  }

  protected override close(): void {}

  #read(): void {
    const now = performance.now();
    const periodMs = this.#reader ? READER_MS : OTHER_MS;
    // A tick that comes a moment early must not skip a whole period.
    if (this.#reading || now - this.#readAt < periodMs * 0.9) {
      return;
    }
    this.#reading = true;
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
      this.#reading = false;
    }
  }
}
