/**
 * Tickets: single-use permissions to run a request, bound to the instance that
 * issued them. That instance's memory alone ensures that a request runs at most
 * once, without a write to the table and even during a table outage.
 *
 * Nothing is stored for a ticket until it is used: a serial number with a
 * message authentication code (MAC) proves that this instance issued it, to
 * whom and when. Any other instance forwards to the issuer. Once the issuer has
 * ended, the ticket can never run again, and whether it ran is unknown.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import type { Brand, InstanceId } from "@poplarthread/ids";
import type { RunOutcome } from "./attempt.ts";

/** A ticket as callers hold it: `INSTANCE~SERIAL~ISSUED~MAC`. */
export type Ticket = Brand<"Ticket">;

/** State of a used ticket. */
type TicketUse =
  | { readonly kind: "running" }
  /** Outcome of a run that may have taken place. */
  | Exclude<RunOutcome, { kind: "not-run" }>;

/** Whether an attempt with a ticket may run. */
export type TicketOutcome =
  /** It may run now, once; report its end with {@link TicketIssuer.end}. */
  | { readonly kind: "granted" }
  /** An earlier attempt is running or has run. */
  | {
    readonly kind: "used";
    readonly bodyMatches: boolean;
    readonly use: TicketUse;
  }
  /** Another instance issued it: forward to that one. */
  | { readonly kind: "forward"; readonly instance: InstanceId }
  /** Its lifetime is over. It will not run, and whether it ran is no longer known. */
  | { readonly kind: "expired" }
  /** Not issued by this instance to this caller, or malformed. */
  | { readonly kind: "forged" }
  /** The limit of used tickets in memory is reached; this attempt does not run, a later one may. */
  | { readonly kind: "full" };

/** Options of {@link TicketIssuer}. */
export interface TicketIssuerOptions {
  readonly instance: InstanceId;
  /** 32 random bytes, generated for this run of the process. */
  readonly secret: Buffer;
  /** How long a ticket is valid. */
  readonly lifetimeMs: number;
  /** Maximum number of used tickets in memory. */
  readonly maxUsed: number;
}

/** One attempt at a request with a ticket. */
export interface TicketAttempt {
  readonly ticket: Ticket;
  /** The caller; a ticket is valid only for the caller it was issued to. */
  readonly scope: string;
  /** Digest of method, path and body. */
  readonly bodyDigest: string;
}

/** The stored state of a used ticket. */
interface UsedTicket {
  readonly bodyDigest: string;
  readonly issuedAt: number;
  readonly use: TicketUse;
}

/** A parsed ticket. */
interface TicketParts {
  readonly instance: InstanceId;
  readonly serial: number;
  readonly issuedAt: number;
  readonly mac: string;
}

/** Issues and accepts the tickets of one instance. Times are in ms on its monotonic clock. */
export class TicketIssuer {
  readonly #options: TicketIssuerOptions;
  readonly #used = new Map<number, UsedTicket>();
  #serial = 0;

  constructor(options: TicketIssuerOptions) {
    this.#options = options;
  }

  /** Number of used tickets in memory. */
  get size(): number {
    return this.#used.size;
  }

  /** Issues a ticket to this caller. */
  issue(scope: string, now: number): Ticket {
    this.#serial += 1;
    const fields = `${this.#options.instance}~${this.#serial}~${
      Math.floor(now)
    }`;
    return `${fields}~${this.#mac(fields, scope)}` as Ticket;
  }

  /** Decides whether this attempt may run. */
  use(attempt: TicketAttempt, now: number): TicketOutcome {
    const parts = parse(attempt.ticket);
    if (parts === undefined) {
      return { kind: "forged" };
    }
    const { instance, serial, issuedAt } = parts;
    if (instance !== this.#options.instance) {
      return { kind: "forward", instance };
    }
    if (!this.#isGenuine(attempt)) {
      return { kind: "forged" };
    }
    const used = this.#used.get(serial);
    if (used !== undefined) {
      const bodyMatches = used.bodyDigest === attempt.bodyDigest;
      return { kind: "used", bodyMatches, use: used.use };
    }
    // A ticket that is not in memory was not used, because used tickets are
    // removed only once they have expired.
    if (now - issuedAt >= this.#options.lifetimeMs) {
      return { kind: "expired" };
    }
    if (this.#isFull(now)) {
      return { kind: "full" };
    }
    const { bodyDigest } = attempt;
    this.#used.set(serial, { bodyDigest, issuedAt, use: { kind: "running" } });
    return { kind: "granted" };
  }

  /** Reports how a granted attempt ended. After `not-run` the ticket may be used again. */
  end(ticket: Ticket, outcome: RunOutcome): void {
    const serial = parse(ticket)?.serial;
    const used = serial === undefined ? undefined : this.#used.get(serial);
    if (serial === undefined || used?.use.kind !== "running") {
      return;
    }
    if (outcome.kind === "not-run") {
      this.#used.delete(serial);
      return;
    }
    this.#used.set(serial, { ...used, use: outcome });
  }

  /** Removes expired tickets only when the limit is reached; a running one is never removed. */
  #isFull(now: number): boolean {
    const { lifetimeMs, maxUsed } = this.#options;
    if (this.#used.size < maxUsed) {
      return false;
    }
    for (const [serial, { issuedAt, use }] of this.#used) {
      if (now - issuedAt >= lifetimeMs && use.kind !== "running") {
        this.#used.delete(serial);
      }
    }
    return this.#used.size >= maxUsed;
  }

  #isGenuine({ ticket, scope }: TicketAttempt): boolean {
    const end = ticket.lastIndexOf("~");
    const expected = Buffer.from(this.#mac(ticket.slice(0, end), scope));
    const given = Buffer.from(ticket.slice(end + 1));
    return expected.length === given.length && timingSafeEqual(expected, given);
  }

  #mac(fields: string, scope: string): string {
    return createHmac("sha256", this.#options.secret)
      .update(JSON.stringify([fields, scope]))
      .digest("base64url");
  }
}

function parse(ticket: Ticket): TicketParts | undefined {
  const [instance, serial, issuedAt, mac, ...more] = ticket.split("~");
  const isComplete = instance !== undefined && mac !== undefined &&
    /^\d+$/.test(serial ?? "") && /^\d+$/.test(issuedAt ?? "");
  if (!isComplete || more.length > 0) {
    return undefined;
  }
  return {
    instance: instance as InstanceId,
    serial: Number(serial),
    issuedAt: Number(issuedAt),
    mac,
  };
}
