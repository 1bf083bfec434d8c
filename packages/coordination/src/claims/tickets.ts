/**
 * Tickets: one-use rights to run a request, bound to the instance that issued
 * them. Its memory alone makes a request run at most once, without a write to
 * the table and in any outage of it.
 *
 * Nothing is stored for a ticket until it is used: a serial number with a
 * message authentication code shows that this instance issued it, for whom and
 * when. Any other instance forwards to the issuer. Once the issuer is gone the
 * ticket can never run again, and whether it ran is unknown.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import type { Brand, InstanceId } from "@poplarthread/ids";
import type { RunOutcome } from "./attempt.ts";

/** A ticket as callers carry it: `INSTANCE~SERIAL~ISSUED~CODE`. */
export type Ticket = Brand<"Ticket">;

/** What is known of a used ticket. */
type Use =
  | { readonly kind: "running" }
  /** How it ended, where it may have run. */
  | Exclude<RunOutcome, { kind: "not-run" }>;

/** What a sending with a ticket may do. */
export type TicketOutcome =
  /** It runs now, this once; end it with {@link TicketOffice.end}. */
  | { readonly kind: "granted" }
  /** An earlier sending runs or ran. */
  | {
    readonly kind: "used";
    readonly bodyMatches: boolean;
    readonly use: Use;
  }
  /** Another instance issued it: ask that one. */
  | { readonly kind: "forward"; readonly instance: InstanceId }
  /** Past its time. It will not run, and whether it ran is not known any more. */
  | { readonly kind: "expired" }
  /** Not a ticket that this instance issued to this caller. */
  | { readonly kind: "forged" }
  /** Too many used tickets are remembered; this sending does not run, a later one may. */
  | { readonly kind: "full" };

/** What a {@link TicketOffice} works with. */
export interface TicketOfficeOptions {
  readonly instance: InstanceId;
  /** Random, of this life of the process alone; 32 bytes. */
  readonly secret: Buffer;
  /** How long a ticket may be used, in ms. */
  readonly lifetimeMs: number;
  /** Used tickets remembered at most. */
  readonly maxUsed: number;
}

/** One sending with a ticket. */
export interface TicketSending {
  readonly ticket: Ticket;
  /** Who sends; a ticket works for the caller that it was issued to. */
  readonly scope: string;
  /** Digest of method, path and body. */
  readonly bodyDigest: string;
}

interface Used {
  readonly bodyDigest: string;
  readonly issuedAt: number;
  readonly use: Use;
}

interface Parts {
  readonly instance: InstanceId;
  readonly serial: number;
  readonly issuedAt: number;
  readonly code: string;
}

/** Issues and honours the tickets of one instance. Times are of its monotonic clock, in ms. */
export class TicketOffice {
  readonly #options: TicketOfficeOptions;
  readonly #used = new Map<number, Used>();
  #serial = 0;

  constructor(options: TicketOfficeOptions) {
    this.#options = options;
  }

  /** Used tickets that are remembered. */
  get size(): number {
    return this.#used.size;
  }

  /** A new ticket for this caller. */
  issue(scope: string, now: number): Ticket {
    this.#serial += 1;
    const fields = `${this.#options.instance}~${this.#serial}~${
      Math.floor(now)
    }`;
    return `${fields}~${this.#code(fields, scope)}` as Ticket;
  }

  /** Whether this sending may run. */
  use(sending: TicketSending, now: number): TicketOutcome {
    const parts = parse(sending.ticket);
    if (parts === undefined) {
      return { kind: "forged" };
    }
    const { instance, serial, issuedAt } = parts;
    if (instance !== this.#options.instance) {
      return { kind: "forward", instance };
    }
    if (!this.#isGenuine(sending)) {
      return { kind: "forged" };
    }
    const used = this.#used.get(serial);
    if (used !== undefined) {
      const bodyMatches = used.bodyDigest === sending.bodyDigest;
      return { kind: "used", bodyMatches, use: used.use };
    }
    // What is not remembered was not used, as long as uses are forgotten only
    // once no ticket of that age is honoured any more.
    if (now - issuedAt >= this.#options.lifetimeMs) {
      return { kind: "expired" };
    }
    if (this.#isFull(now)) {
      return { kind: "full" };
    }
    const { bodyDigest } = sending;
    this.#used.set(serial, { bodyDigest, issuedAt, use: { kind: "running" } });
    return { kind: "granted" };
  }

  /** How a granted sending ended. After `not-run` the ticket is as good as new. */
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

  /** Forgets expired uses only when room is needed; a running one is never forgotten. */
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

  #isGenuine({ ticket, scope }: TicketSending): boolean {
    const end = ticket.lastIndexOf("~");
    const expected = Buffer.from(this.#code(ticket.slice(0, end), scope));
    const given = Buffer.from(ticket.slice(end + 1));
    return expected.length === given.length && timingSafeEqual(expected, given);
  }

  #code(fields: string, scope: string): string {
    return createHmac("sha256", this.#options.secret)
      .update(JSON.stringify([fields, scope]))
      .digest("base64url");
  }
}

function parse(ticket: Ticket): Parts | undefined {
  const [instance, serial, issuedAt, code, ...more] = ticket.split("~");
  const isWhole = instance !== undefined && code !== undefined &&
    /^\d+$/.test(serial ?? "") && /^\d+$/.test(issuedAt ?? "");
  if (!isWhole || more.length > 0) {
    return undefined;
  }
  return {
    instance: instance as InstanceId,
    serial: Number(serial),
    issuedAt: Number(issuedAt),
    code,
  };
}
