/**
 * Puts messages together that arrive in several datagrams. A message is complete
 * with its last part, whatever their order; one that lacks a part is dropped.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { HomeDatagram, MessageHead } from "./home_codec.ts";

/** Incomplete messages kept of each sender; more than one, as parts may overtake each other. */
const MAX_INCOMPLETE = 4;

/** A message with all of its packed lists. */
export interface WholeMessage {
  readonly head: MessageHead;
  readonly packed: string;
}

interface IncompleteMessage {
  readonly count: number;
  readonly parts: Map<number, string>;
}

/** Incomplete messages by sender; see the module comment. */
export class MessageParts {
  readonly #bySender = new Map<VmId, Map<number, IncompleteMessage>>();

  /** Adds a datagram; returns its message if it is complete now. */
  add(
    { head, packed, part }: HomeDatagram,
    from: VmId,
  ): WholeMessage | undefined {
    if (part === undefined) {
      return { head, packed };
    }
    const incomplete = this.#incompleteOf(from);
    const message = incomplete.get(part.message) ??
      { count: part.count, parts: new Map() };
    if (message.count !== part.count) {
      return undefined;
    }
    message.parts.set(part.index, packed);
    incomplete.set(part.message, message);
    if (message.parts.size === message.count) {
      incomplete.delete(part.message);
      return { head, packed: joined(message) };
    }
    if (incomplete.size > MAX_INCOMPLETE) {
      const [oldest] = incomplete.keys();
      incomplete.delete(oldest!);
    }
    return undefined;
  }

  /** Drops all incomplete messages. */
  clear(): void {
    this.#bySender.clear();
  }

  #incompleteOf(sender: VmId): Map<number, IncompleteMessage> {
    let incomplete = this.#bySender.get(sender);
    if (incomplete === undefined) {
      incomplete = new Map();
      this.#bySender.set(sender, incomplete);
    }
    return incomplete;
  }
}

function joined({ count, parts }: IncompleteMessage): string {
  return Array.from({ length: count }, (_, index) => parts.get(index)).join("");
}
