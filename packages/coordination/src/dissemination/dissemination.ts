/**
 * The dissemination core of one VM, for one document.
 *
 * @module
 */

import type { VmId, ZoneId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import type {
  Change,
  DisseminationEffect,
  DisseminationMessage,
} from "./messages.ts";
import { type Ranked, readersOf } from "./ranks.ts";

/** Who this VM is. */
export interface DisseminationOptions {
  readonly self: Sender & { readonly zone: ZoneId };
}

/** Carries the changes of one document to every VM. Call {@link tick} every 100 ms or so. */
export class Dissemination {
  readonly #options: DisseminationOptions;
  #members: readonly Ranked[] = [];
  #revision = 0;

  constructor(options: DisseminationOptions) {
    this.#options = options;
  }

  /** The revision that this VM has. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether this VM is one of those that poll the table for their zone. */
  isReader(): boolean {
    const { vm, zone } = this.#options.self;
    return readersOf(zone, this.#members).includes(vm);
  }

  /** Sets the members that trees are built from; call it when membership changes. */
  setMembers(members: readonly Ranked[]): void {
    this.#members = members;
  }

  /** This VM read a change from the table (or made it): it is the origin. */
  originate(change: Change, _now: number): readonly DisseminationEffect[] {
    if (change.revision <= this.#revision) {
      return [];
    }
    this.#revision = change.revision;
    return [{ kind: "apply", change }];
  }

  /** A snapshot was loaded. */
  loaded(revision: number, _now: number): readonly DisseminationEffect[] {
    this.#revision = Math.max(this.#revision, revision);
    return [];
  }

  /** A heartbeat of a peer named a higher revision: pulls from it. */
  ahead(
    _vm: VmId,
    _revision: number,
    _now: number,
  ): readonly DisseminationEffect[] {
    return [];
  }

  /** Takes in a message of a peer. */
  receive(
    _message: DisseminationMessage,
    _now: number,
  ): readonly DisseminationEffect[] {
    return [];
  }

  /** Lets time pass. */
  tick(_now: number): readonly DisseminationEffect[] {
    return [];
  }
}
