/**
 * Asks the VMs that keep the credit of client accounts, and answers those that ask
 * this one, as JSON-RPC 2.0 in datagrams: a request waits for the answer, and a lost
 * one costs less than a connection that has fallen silent.
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
import { keepersOf } from "@poplarthread/placement";
import * as z from "zod";
import { Task } from "../../task.ts";
import type { CreditAnswer, CreditLedger } from "./credit_ledger.ts";
import type { ListenAddress } from "../settings.ts";
import type { RankedMember } from "../vm_directory.ts";

/** Asks for the credit of one request. */
const CREDIT_METHOD = "credit";
/** Asks the keeper of another region for credit. */
const LEND_METHOD = "lend";
/** Credit of an account is borrowed this often at most, in milliseconds: a few round trips between regions. */
const BORROW_EVERY_MS = 250;
/** Longest wait for a keeper's answer, in milliseconds: its event loop may be busy, the way takes one. */
const ANSWER_MS = 80;
/** Credit that was given back holds this long, in milliseconds: kept for ever, it would add to what a later window allows. */
const SPARE_MS = 500;
/** Questions for loans whose answers are waited for. */
const MOST_BORROWING = 1_000;
/** How often is looked whether answers are missing, in milliseconds. */
const CHECK_MS = 20;

const paramsSchema = z.object({ account: z.string() });
const lendSchema = z.object({
  account: z.string(),
  amount: z.number().min(0),
});
const loanSchema = z.object({ lent: z.number().min(0) });
const answerSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("granted") }),
  z.object({ kind: z.literal("used-up"), readyInMs: z.number() }),
  z.object({ kind: z.literal("not-kept") }),
]);

/** What a request learns of its account's credit. */
export type Credit =
  | { readonly kind: "granted" }
  | { readonly kind: "used-up"; readonly readyInMs: number }
  /** No keeper answered. */
  | { readonly kind: "unknown" };

/** What the task is told. */
export interface CreditExchangeMessage {
  /** Looks whether answers are missing. */
  readonly kind: "check";
}

/** What the task works with. */
export interface CreditExchangeOptions {
  readonly listen: ListenAddress;
  readonly self: RankedMember;
  readonly ledger: CreditLedger;
  /** VMs of the region that are up, this one among them. */
  upInRegion(): readonly RankedMember[];
  /** VMs that are up of each other region. */
  otherRegions(): readonly (readonly RankedMember[])[];
}

/** A request that waits for credit. */
interface Asking {
  readonly account: AccountId;
  /** Keepers that were not asked yet. */
  readonly left: RankedMember[];
  readonly done: (credit: Credit) => void;
  /** The soonest credit that a keeper has promised; undefined where none has. */
  readyInMs: number | undefined;
  askedAt: number;
}

/** See the module's comment. */
export class CreditExchange extends Task<CreditExchangeMessage> {
  readonly #options: CreditExchangeOptions;
  readonly #asking = new Map<number, Asking>();
  /** Accounts for which credit was asked of other regions, by the question. */
  readonly #borrowing = new Map<number, AccountId>();
  /** When credit of an account may be borrowed again. */
  readonly #borrowAt = new Map<AccountId, number>();
  /** Credit that was given back, as the moments until which it holds. */
  readonly #spares = new Map<AccountId, number[]>();
  #socket: Socket | undefined;
  #lastId = 0;
  /** The next look for missing answers is due. */
  #isChecking = false;

  constructor(options: CreditExchangeOptions) {
    super("credit");
    this.#options = options;
  }

  /** Asks for the credit of one request; `done` is called once, perhaps before this returns. */
  request(account: AccountId, done: (credit: Credit) => void): void {
    if (this.#takeSpare(account)) {
      done({ kind: "granted" });
      return;
    }
    const left = [...keepersOf(account, this.#options.upInRegion())];
    this.#askNext({ account, left, done, readyInMs: undefined, askedAt: 0 });
  }

  /** A request that was granted credit did not run: the next one of its account has it. */
  giveBack(account: AccountId): void {
    const spares = this.#spares.get(account) ?? [];
    spares.push(performance.now() + SPARE_MS);
    this.#spares.set(account, spares);
  }

  /** Asks the first keepers of other regions for credit of an account. */
  borrow(account: AccountId, amount: number): void {
    const now = performance.now();
    if (now < (this.#borrowAt.get(account) ?? 0)) {
      return;
    }
    this.#borrowAt.set(account, now + BORROW_EVERY_MS);
    for (const vms of this.#options.otherRegions()) {
      const [keeper] = keepersOf(account, vms);
      if (keeper !== undefined) {
        this.#borrowing.set(
          this.#ask(keeper, LEND_METHOD, { account, amount }),
          account,
        );
      }
    }
    this.#forgetOldLoans();
  }

  /** A loan that is answered later than the newest questions allow for is lost. */
  #forgetOldLoans(): void {
    for (const id of this.#borrowing.keys()) {
      if (this.#borrowing.size <= MOST_BORROWING) {
        return;
      }
      this.#borrowing.delete(id);
    }
  }

  #takeSpare(account: AccountId): boolean {
    const spares = this.#spares.get(account);
    if (spares === undefined) {
      return false;
    }
    this.#spares.delete(account);
    const now = performance.now();
    const left = spares.filter((until) => now < until);
    const [spare, ...others] = left;
    if (others.length > 0) {
      this.#spares.set(account, others);
    }
    return spare !== undefined;
  }

  protected override open(): Promise<void> {
    const socket = createSocket("udp4");
    this.#socket = socket;
    this.#isChecking = false;
    socket.on("message", (bytes, from) => this.#take(bytes, from));
    const { host, port } = this.#options.listen;
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(port, host, () => {
        socket.off("error", reject);
        socket.on("error", (err) => this.fail(err));
        resolve();
      });
    });
  }

  protected override close(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  protected override receive(_message: CreditExchangeMessage): void {
    this.#isChecking = false;
    this.#askFurther();
    if (this.#asking.size > 0) {
      this.#check();
    }
  }

  /** Answers that are missing are looked for only while some are waited for. */
  #check(): void {
    if (!this.#isChecking) {
      this.#isChecking = true;
      this.after(CHECK_MS, { kind: "check" });
    }
  }

  /** Asks the next keeper for those whose answer is missing. */
  #askFurther(): void {
    const due = performance.now() - ANSWER_MS;
    for (const [id, asking] of this.#asking) {
      if (asking.askedAt > due) {
        // Asked in order: all that follow were asked later.
        return;
      }
      this.#asking.delete(id);
      this.#askNext(asking);
    }
  }

  #askNext(asking: Asking): void {
    const keeper = asking.left.shift();
    if (keeper === undefined) {
      asking.done(
        asking.readyInMs === undefined
          ? { kind: "unknown" }
          : { kind: "used-up", readyInMs: asking.readyInMs },
      );
      return;
    }
    const now = performance.now();
    if (keeper.vm === this.#options.self.vm) {
      this.#answered(asking, this.#options.ledger.take(asking.account, now));
      return;
    }
    asking.askedAt = now;
    const { account } = asking;
    this.#asking.set(this.#ask(keeper, CREDIT_METHOD, { account }), asking);
    this.#check();
  }

  /** Sends a question and returns its id. */
  #ask(keeper: RankedMember, method: string, params: object): number {
    this.#lastId += 1;
    const [host] = keeper.peerAddress.split(":");
    const question = createJSONRPCRequest(this.#lastId, method, params);
    this.#send(question, { port: this.#options.listen.port, host: host! });
    return this.#lastId;
  }

  #answered(asking: Asking, answer: CreditAnswer): void {
    switch (answer.kind) {
      case "granted":
        asking.done({ kind: "granted" });
        return;
      case "used-up":
        asking.readyInMs = Math.min(
          answer.readyInMs,
          asking.readyInMs ?? Infinity,
        );
        this.#askNext(asking);
        return;
      case "not-kept":
        this.#askNext(asking);
        return;
    }
  }

  #take(bytes: Buffer, from: RemoteInfo): void {
    let message: unknown;
    try {
      message = JSON.parse(bytes.toString("utf8"));
    } catch {
      // Not of a VM of the system: nothing that it says counts.
      return;
    }
    if (isJSONRPCRequest(message)) {
      this.#answer(message, from);
    } else if (isJSONRPCResponse(message)) {
      this.#heard(message);
    }
  }

  #answer(
    { id, method, params }: {
      id?: string | number | null;
      method: string;
      params?: unknown;
    },
    { address, port }: RemoteInfo,
  ): void {
    const result = this.#resultOf(method, params);
    if (result !== undefined) {
      const answer = createJSONRPCSuccessResponse(id ?? null, result);
      this.#send(answer, { port, host: address });
    }
  }

  /** Undefined where it is no question of a VM. */
  #resultOf(method: string, params: unknown): object | undefined {
    const { ledger } = this.#options;
    const now = performance.now();
    switch (method) {
      case CREDIT_METHOD: {
        const asked = paramsSchema.safeParse(params);
        return asked.success
          ? ledger.take(asked.data.account as AccountId, now)
          : undefined;
      }
      case LEND_METHOD: {
        const asked = lendSchema.safeParse(params);
        if (!asked.success) {
          return undefined;
        }
        const { account, amount } = asked.data;
        const loan = { asked: amount, now };
        return { lent: ledger.lend(account as AccountId, loan) };
      }
      default:
        return undefined;
    }
  }

  #heard({ id, result }: { id: string | number | null; result?: unknown }) {
    const borrower = this.#borrowing.get(Number(id));
    const loan = loanSchema.safeParse(result);
    if (borrower !== undefined && loan.success) {
      this.#borrowing.delete(Number(id));
      const { lent } = loan.data;
      this.#options.ledger.borrowed(borrower, { lent, now: performance.now() });
      return;
    }
    const asking = this.#asking.get(Number(id));
    const answer = answerSchema.safeParse(result);
    if (asking === undefined || !answer.success) {
      // It came after the next keeper was asked; its credit runs out unused.
      return;
    }
    this.#asking.delete(Number(id));
    this.#answered(asking, answer.data);
  }

  #send(message: object, { port, host }: ListenAddress): void {
    // A datagram that cannot be sent is as good as a lost one.
    this.#socket?.send(JSON.stringify(message), port, host, () => undefined);
  }
}
