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
import type { CreditAnswer, CreditKeeperBooks } from "./credit_keeper.ts";
import type { ListenAddress } from "../settings.ts";
import type { RankedMember } from "../vm_directory.ts";

/** The only method. */
const METHOD = "credit";
/** Longest wait for a keeper's answer, in milliseconds: its event loop may be busy, the way takes one. */
const ANSWER_MS = 80;
/** Credit that was given back holds this long, in milliseconds: kept for ever, it would add to what a later window allows. */
const SPARE_MS = 500;
/** How often is looked whether answers are missing, in milliseconds. */
const CHECK_MS = 20;

const paramsSchema = z.object({ account: z.string() });
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
  readonly books: CreditKeeperBooks;
  /** VMs of the region that are up, this one among them. */
  upInRegion(): readonly RankedMember[];
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
  /** Credit that was given back, as the moments until which it holds. */
  readonly #spares = new Map<AccountId, number[]>();
  #socket: Socket | undefined;
  #lastId = 0;

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
    socket.on("message", (bytes, from) => this.#take(bytes, from));
    const { host, port } = this.#options.listen;
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(port, host, () => {
        socket.off("error", reject);
        socket.on("error", (err) => this.fail(err));
        this.every(CHECK_MS, { kind: "check" });
        resolve();
      });
    });
  }

  protected override close(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  protected override receive(_message: CreditExchangeMessage): void {
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
      this.#answered(asking, this.#options.books.take(asking.account, now));
      return;
    }
    asking.askedAt = now;
    this.#lastId += 1;
    this.#asking.set(this.#lastId, asking);
    const question = createJSONRPCRequest(this.#lastId, METHOD, {
      account: asking.account,
    });
    const [host] = keeper.peerAddress.split(":");
    this.#send(question, { port: this.#options.listen.port, host: host! });
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
    const asked = paramsSchema.safeParse(params);
    if (method !== METHOD || !asked.success) {
      return;
    }
    const account = asked.data.account as AccountId;
    const answer = this.#options.books.take(account, performance.now());
    this.#send(createJSONRPCSuccessResponse(id ?? null, answer), {
      port,
      host: address,
    });
  }

  #heard({ id, result }: { id: string | number | null; result?: unknown }) {
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
