/**
 * Requests credit from the credit owners of client accounts, and responds to other VMs
 * where this VM is a credit owner. Messages are JSON-RPC 2.0 in datagrams: a client's
 * request waits for the response, and a lost datagram delays it less than a connection
 * that has become unresponsive.
 *
 * @module
 */

import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import {
  createJSONRPCRequest,
  createJSONRPCSuccessResponse,
  isJSONRPCRequest,
  isJSONRPCResponse,
} from "json-rpc-2.0";
import type { AccountId } from "@poplarthread/ids";
import { creditOwners } from "@poplarthread/placement";
import * as z from "zod";
import { bind } from "../../listen.ts";
import { Task } from "../../task.ts";
import { parseDatagram } from "../datagram.ts";
import type { CreditLedger, CreditResponse } from "./credit_ledger.ts";
import type { ListenAddress } from "../settings.ts";
import type { RankedMember } from "../vm_directory.ts";

/** Requests the credit for one request. */
const CREDIT_METHOD = "credit";
/** Requests a loan from the credit owner of another region. */
const LEND_METHOD = "lend";
/** Minimum interval between loan requests for one account: a few round trips between regions. */
const BORROW_INTERVAL_MS = 250;
/** Timeout for a credit owner's response. The network takes 1 ms of it; the rest allows for a busy event loop. */
const RESPONSE_TIMEOUT_MS = 80;
/** How long refunded credit can be used: without expiry it would add to what a later quota window allows. */
const REFUND_TTL_MS = 500;
/** Loan requests that may await a response. */
const MAX_PENDING_LOANS = 1_000;
/** Interval of the check for responses that are overdue. */
const CHECK_INTERVAL_MS = 20;

const creditParamsSchema = z.object({ account: z.string() });
const lendParamsSchema = z.object({
  account: z.string(),
  amount: z.number().min(0),
});
const lendResultSchema = z.object({ lent: z.number().min(0) });
const creditResultSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("granted") }),
  z.object({ kind: z.literal("used-up"), readyInMs: z.number() }),
  z.object({ kind: z.literal("not-kept") }),
]);

/** Outcome of a credit request. */
export type CreditOutcome =
  | { readonly kind: "granted" }
  | { readonly kind: "used-up"; readonly readyInMs: number }
  /** No credit owner responded with a decision. */
  | { readonly kind: "unknown" };

/** Messages to the task. */
export interface CreditExchangeMessage {
  /** Check for overdue responses. */
  readonly kind: "check";
}

/** Dependencies of {@link CreditExchange}. */
export interface CreditExchangeOptions {
  readonly listen: ListenAddress;
  readonly self: RankedMember;
  readonly ledger: CreditLedger;
  /** VMs of the region that are up, including this one. */
  upInRegion(): readonly RankedMember[];
  /** For each other region, its VMs that are up. */
  otherRegions(): readonly (readonly RankedMember[])[];
}

/** A client's request that waits for credit. */
interface PendingRequest {
  readonly account: AccountId;
  /** Credit owners that have not been asked yet. */
  readonly untried: RankedMember[];
  readonly done: (credit: CreditOutcome) => void;
  /** Shortest time until credit that an owner has announced; undefined if none has. */
  readyInMs: number | undefined;
  sentAt: number;
}

/** The task that requests and grants credit; see the module comment. */
export class CreditExchange extends Task<CreditExchangeMessage> {
  readonly #options: CreditExchangeOptions;
  readonly #pending = new Map<number, PendingRequest>();
  /** Accounts of the loan requests sent to other regions, by request id. */
  readonly #pendingLoans = new Map<number, AccountId>();
  /** Earliest time of the next loan request, by account. */
  readonly #nextBorrowAt = new Map<AccountId, number>();
  /** Expiry times of refunded credit, by account. */
  readonly #refunds = new Map<AccountId, number[]>();
  #socket: Socket | undefined;
  #lastId = 0;
  /** Whether the next check for overdue responses is scheduled. */
  #isCheckScheduled = false;

  constructor(options: CreditExchangeOptions) {
    super("credit");
    this.#options = options;
  }

  /** Requests the credit for one request; calls `done` once, possibly synchronously. */
  request(account: AccountId, done: (credit: CreditOutcome) => void): void {
    if (this.#takeRefund(account)) {
      done({ kind: "granted" });
      return;
    }
    const untried = [...creditOwners(account, this.#options.upInRegion())];
    this.#tryNextOwner({
      account,
      untried,
      done,
      readyInMs: undefined,
      sentAt: 0,
    });
  }

  /** Refunds the credit of a request that did not run: the next request of the account uses it. */
  refund(account: AccountId): void {
    const expiries = this.#refunds.get(account) ?? [];
    expiries.push(performance.now() + REFUND_TTL_MS);
    this.#refunds.set(account, expiries);
  }

  /** Requests a loan for an account from the first credit owner of each other region. */
  borrow(account: AccountId, amount: number): void {
    const now = performance.now();
    if (now < (this.#nextBorrowAt.get(account) ?? 0)) {
      return;
    }
    this.#nextBorrowAt.set(account, now + BORROW_INTERVAL_MS);
    for (const vms of this.#options.otherRegions()) {
      const [owner] = creditOwners(account, vms);
      if (owner !== undefined) {
        this.#pendingLoans.set(
          this.#sendRequest(owner, LEND_METHOD, { account, amount }),
          account,
        );
      }
    }
    this.#dropOldestLoans();
  }

  /** Keeps the newest loan requests; the response to a dropped one is ignored, and its loan is lost. */
  #dropOldestLoans(): void {
    for (const id of this.#pendingLoans.keys()) {
      if (this.#pendingLoans.size <= MAX_PENDING_LOANS) {
        return;
      }
      this.#pendingLoans.delete(id);
    }
  }

  #takeRefund(account: AccountId): boolean {
    const expiries = this.#refunds.get(account);
    if (expiries === undefined) {
      return false;
    }
    this.#refunds.delete(account);
    const now = performance.now();
    const valid = expiries.filter((expiresAt) => now < expiresAt);
    const [used, ...rest] = valid;
    if (rest.length > 0) {
      this.#refunds.set(account, rest);
    }
    return used !== undefined;
  }

  protected override async open(): Promise<void> {
    const socket = createSocket("udp4");
    this.#socket = socket;
    this.#isCheckScheduled = false;
    socket.on("message", (bytes, from) => this.#onDatagram(bytes, from));
    await bind(socket, this.#options.listen, (err) => this.fail(err));
    if (this.#pending.size > 0) {
      this.#scheduleCheck();
    }
  }

  protected override close(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  protected override receive(_message: CreditExchangeMessage): void {
    this.#isCheckScheduled = false;
    this.#retryTimedOut();
    if (this.#pending.size > 0) {
      this.#scheduleCheck();
    }
  }

  /** Schedules the next check; checks run only while responses are pending. */
  #scheduleCheck(): void {
    if (!this.#isCheckScheduled) {
      this.#isCheckScheduled = true;
      this.sendAfter(CHECK_INTERVAL_MS, { kind: "check" });
    }
  }

  /** Tries the next credit owner for requests whose response is overdue. */
  #retryTimedOut(): void {
    const overdueSince = performance.now() - RESPONSE_TIMEOUT_MS;
    for (const [id, request] of this.#pending) {
      if (request.sentAt > overdueSince) {
        // Entries are in the order they were sent: the following ones are newer.
        return;
      }
      this.#pending.delete(id);
      this.#tryNextOwner(request);
    }
  }

  #tryNextOwner(request: PendingRequest): void {
    const owner = request.untried.shift();
    if (owner === undefined) {
      request.done(
        request.readyInMs === undefined
          ? { kind: "unknown" }
          : { kind: "used-up", readyInMs: request.readyInMs },
      );
      return;
    }
    const now = performance.now();
    if (owner.vm === this.#options.self.vm) {
      this.#onCreditResponse(
        request,
        this.#options.ledger.take(request.account, now),
      );
      return;
    }
    if (!this.running) {
      this.#tryNextOwner(request);
      return;
    }
    request.sentAt = now;
    const { account } = request;
    this.#pending.set(
      this.#sendRequest(owner, CREDIT_METHOD, { account }),
      request,
    );
    this.#scheduleCheck();
  }

  /** Sends a JSON-RPC request and returns its id. */
  #sendRequest(owner: RankedMember, method: string, params: object): number {
    this.#lastId += 1;
    const [host] = owner.peerAddress.split(":");
    const request = createJSONRPCRequest(this.#lastId, method, params);
    this.#send(request, { port: this.#options.listen.port, host: host! });
    return this.#lastId;
  }

  #onCreditResponse(request: PendingRequest, response: CreditResponse): void {
    switch (response.kind) {
      case "granted":
        request.done({ kind: "granted" });
        return;
      case "used-up":
        request.readyInMs = Math.min(
          response.readyInMs,
          request.readyInMs ?? Infinity,
        );
        this.#tryNextOwner(request);
        return;
      case "not-kept":
        this.#tryNextOwner(request);
        return;
    }
  }

  #onDatagram(bytes: Buffer, from: RemoteInfo): void {
    const message = parseDatagram(bytes);
    if (message === undefined) {
      return;
    }
    if (isJSONRPCRequest(message)) {
      this.#onRequest(message, from);
    } else if (isJSONRPCResponse(message)) {
      this.#onResponse(message);
    }
  }

  #onRequest(
    { id, method, params }: {
      id?: string | number | null;
      method: string;
      params?: unknown;
    },
    { address, port }: RemoteInfo,
  ): void {
    const result = this.#resultOf(method, params);
    if (result !== undefined) {
      const response = createJSONRPCSuccessResponse(id ?? null, result);
      this.#send(response, { port, host: address });
    }
  }

  /** The result of a request; undefined for an unknown method or malformed parameters. */
  #resultOf(method: string, params: unknown): object | undefined {
    const { ledger } = this.#options;
    const now = performance.now();
    switch (method) {
      case CREDIT_METHOD: {
        const parsed = creditParamsSchema.safeParse(params);
        return parsed.success
          ? ledger.take(parsed.data.account as AccountId, now)
          : undefined;
      }
      case LEND_METHOD: {
        const parsed = lendParamsSchema.safeParse(params);
        if (!parsed.success) {
          return undefined;
        }
        const { account, amount } = parsed.data;
        const loan = { asked: amount, now };
        return { lent: ledger.lend(account as AccountId, loan) };
      }
      default:
        return undefined;
    }
  }

  #onResponse(
    { id, result }: { id: string | number | null; result?: unknown },
  ) {
    const account = this.#pendingLoans.get(Number(id));
    const loan = lendResultSchema.safeParse(result);
    if (account !== undefined && loan.success) {
      this.#pendingLoans.delete(Number(id));
      const { lent } = loan.data;
      this.#options.ledger.receiveLoan(account, {
        lent,
        now: performance.now(),
      });
      return;
    }
    const request = this.#pending.get(Number(id));
    const response = creditResultSchema.safeParse(result);
    if (request === undefined || !response.success) {
      // Malformed, or too late: the next owner has already been asked, and credit that a
      // late response grants stays unused.
      return;
    }
    this.#pending.delete(Number(id));
    this.#onCreditResponse(request, response.data);
  }

  #send(message: object, { port, host }: ListenAddress): void {
    // A send error is ignored: the datagram counts as lost.
    this.#socket?.send(JSON.stringify(message), port, host, () => undefined);
  }
}
