/**
 * Relays changes of the platform's store between VMs, as JSON-RPC 2.0 over HTTP: the
 * listener of the relay, and the client of the VMs that use it.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  createJSONRPCRequest,
  isJSONRPCResponse,
  JSONRPCErrorException,
  JSONRPCServer,
} from "json-rpc-2.0";
import * as z from "zod";
import {
  type FreshnessReport,
  knownSinceReport,
  type RequestTimes,
} from "@poplarthread/coordination/freshness";
import { JsonClient } from "../json_client.ts";
import {
  type Arrival,
  type ExchangeEnd,
  JsonCallError,
} from "../json_exchange.ts";
import { createBoundedServer } from "../http/bounded_pipelining.ts";
import { listen } from "../listen.ts";
import { Task } from "../task.ts";
import { type Member, WATCHED_SUBJECTS, type WatchedSubject } from "./ports.ts";
import type { RowChanges } from "./row_copy.ts";
import {
  decodeArrival,
  decodeResponse,
  encodeResponse,
} from "./relay_codec.ts";
import type { HistoryRead } from "./store_history.ts";
import type { ValuePatch } from "./value_patch.ts";
import type { ListenAddress } from "./settings.ts";

/** One VM's request for changes. */
export interface RelayRequest {
  /** Only changes after this version are returned; -1 if no rows are known. */
  readonly version: number;
  /** The store's history that the version belongs to, as far as the requesting VM knows. */
  readonly era: number;
  /** Which of several numberings within that history; left out by older versions of the program. */
  readonly numbering?: number;
  /** Versions of the large values that the requesting VM has, by key: it can be sent what differs. */
  readonly bases?: Readonly<Record<string, number>>;
  /** Longest wait for changes. */
  readonly waitMs: number;
  /** The relay must not respond early because its rows become stale: the requesting VM has lost the store, too. */
  readonly isPatient: boolean;
  /** Time since the store last confirmed the requesting VM's rows; left out by older versions of the program. */
  readonly unconfirmedMs?: number;
  /** The requesting VM knows how long the relay will be reading; left out by older versions of the program. */
  readonly isTold?: boolean;
  /** The requesting VM queries others if the relay has lost the store, so that it must say so at once. */
  readonly mayReplace: boolean;
  /** Ends the call, unless its response has begun to arrive. */
  readonly signal?: AbortSignal;
  /** Ends the call in any case. */
  readonly cancelSignal?: AbortSignal;
  /** Sends the request again on a new connection, to be answered at once; see {@link JsonCall.repeatSignal}. */
  readonly repeatSignal?: AbortSignal;
  /** Called when the response begins to arrive. */
  begun?(arrival: () => Arrival): void;
  /** Called when a request of the call has ended. */
  ended?(end: ExchangeEnd): void;
}

/** A VM's response. Sent as JSON. */
export interface RelayResponse extends RowChanges, FreshnessReport {
  /** How the values of rows that are listed without one differ from the requesting VM's, by key. */
  readonly patches?: ReadonlyMap<string, ValuePatch>;
  /** Time since the store last confirmed that no change is missing. */
  readonly ageMs: number;
  /** Time since connectivity to the store was restored; undefined if it was never lost. */
  readonly regainedMs: number | undefined;
  /**
   * The store refused the responding VM, which got the rows from another VM. The
   * requesting VM should query others: it may itself be that other VM.
   */
  readonly isSecondHand: boolean;
  /** The responding VM has lost the store. The requesting VM should query others, which may reach it. */
  readonly isLost: boolean;
  /** A response is arriving at the responding VM, which will have more rows soon. */
  readonly isReading: boolean;
  /** How that response arrives; left out if none does, or if its length is unknown. */
  readonly arrival?: ReadingArrival;
  /** Which of several numberings within its history the position belongs to; left out by older versions of the program. */
  readonly numbering?: number;
}

/** How a response arrives at a relay, in milliseconds. */
export interface ReadingArrival {
  /** Since when. */
  readonly forMs: number;
  /** Until when, at the rate so far. */
  readonly leftMs: number;
}

/** The responding VM is reading all rows, which are arriving. */
export class StillReadingError extends JsonCallError {
  readonly arrival: ReadingArrival | undefined;

  constructor(arrival?: ReadingArrival) {
    super("the relay is still reading the rows");
    this.arrival = arrival;
  }
}

/** Ages are reported in whole milliseconds. */
const AGE_ROUNDING_MS = 1;

/** The read of the store that a response passes on; `times` are the requesting VM's. */
export function relayedRead(
  response: RelayResponse,
  times: RequestTimes,
): HistoryRead {
  const { era, position: version, numbering = 0 } = response;
  const startedAt = knownSinceReport(response, times);
  const endedAt = times.respondedAt - response.ageMs + AGE_ROUNDING_MS;
  return { era, version, numbering, startedAt, endedAt };
}

/** Handles a peer's request; undefined if this VM has not read the subject yet. Rejects with {@link StillReadingError}. */
export type RelayHandler = (
  subject: WatchedSubject,
  request: RelayRequest,
) => Promise<RelayResponse | undefined>;

/** The only method. */
const METHOD = "changes";
/** Code of the error that tells of a {@link StillReadingError}. */
const STILL_READING = 1;
/** Largest body of a request: its fields take about 200 bytes. */
const MAX_REQUEST_BYTES = 4_096;
/** How long an idle connection is kept: longer than a VM uses another relay in between. */
const KEEP_ALIVE_MS = 60_000;
/** Added to the requested wait for the response to begin: covers round trips in the region and a busy VM. */
const RESPONSE_MARGIN_MS = 300;
/**
 * Timeout of the repeated call, which does not wait for changes. Until it is over, a
 * relay that has lost power keeps the VMs that use it from others.
 */
const REPEAT_TIMEOUT_MS = 350;

const paramsSchema = z.object({
  subject: z.enum(WATCHED_SUBJECTS),
  version: z.number(),
  /** Left out by older versions of the program. */
  bases: z.record(z.string(), z.number()).optional(),
  /** Left out by older versions of the program. */
  era: z.number().default(0),
  numbering: z.number().optional(),
  waitMs: z.number().min(0).max(30_000),
  isPatient: z.boolean(),
  /** Left out by older versions of the program. */
  isTold: z.boolean().optional(),
  unconfirmedMs: z.number().min(0).optional(),
  /** Left out by older versions of the program. */
  mayReplace: z.boolean().default(false),
  /** Whether large rows may be sent packed. Left out by older versions of the program. */
  readsPacked: z.boolean().default(false),
});

/** Serves peers' requests for changes. */
export class RelayListener extends Task<never> {
  readonly #listen: ListenAddress;
  readonly #rpc = new JSONRPCServer({ errorListener: () => undefined });
  #server: Server | undefined;

  constructor(options: { listen: ListenAddress; handler: RelayHandler }) {
    super("relay");
    this.#listen = options.listen;
    this.#rpc.addMethod(METHOD, async (params) => {
      const { subject, readsPacked, ...request } = paramsSchema.parse(params);
      const response = await options.handler(subject, request)
        .catch(encodeError);
      if (response === undefined) {
        throw new Error("nothing read yet");
      }
      return encodeResponse(response, readsPacked);
    });
  }

  protected override open(): Promise<void> {
    const server = createBoundedServer((req, res) =>
      void this.#handle(req, res)
    );
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.#server = server;
    return listen(server, this.#listen, (err) => this.fail(err));
  }

  protected override receive(): void {}

  protected override close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { socket } = req;
    try {
      const response = await this.#rpc.receiveJSON(await readRequestBody(req));
      const body = JSON.stringify(response);
      res.writeHead(200, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      });
      res.end(body);
    } catch {
      // The client aborted, or is not a VM. A VM treats the closed connection as a failed relay.
      socket.destroy();
    }
  }
}

/** Requests changes from relays. */
export class RelayClient {
  /** By the address of the relay. */
  readonly #clients = new Map<string, JsonClient>();
  readonly #onSilentConnections: (relay: Member) => void;

  /** `onSilentConnections`: a relay responded on a new connection, but not on earlier ones. */
  constructor(onSilentConnections: (relay: Member) => void) {
    this.#onSilentConnections = onSilentConnections;
  }

  /** Rejects if the relay does not respond or has not read the subject yet. */
  async requestChanges(
    relay: Member,
    subject: WatchedSubject,
    request: RelayRequest,
  ): Promise<RelayResponse> {
    const { signal, cancelSignal, repeatSignal, begun, ended, ...fields } =
      request;
    const params = { subject, readsPacked: true, ...fields };
    const encode = (waitMs: number) =>
      JSON.stringify(createJSONRPCRequest(1, METHOD, { ...params, waitMs }));
    const { body } = await this.#clientOf(relay).call({
      method: "POST",
      path: "/",
      body: encode(request.waitMs),
      timeoutMs: request.waitMs + RESPONSE_MARGIN_MS,
      repeat: {
        path: "/",
        body: encode(0),
        timeoutMs: REPEAT_TIMEOUT_MS,
      },
      ...(signal === undefined ? {} : { signal }),
      ...(cancelSignal === undefined ? {} : { cancelSignal }),
      ...(repeatSignal === undefined ? {} : { repeatSignal }),
      ...(begun === undefined ? {} : { begun }),
      ...(ended === undefined ? {} : { ended }),
    });
    if (!isJSONRPCResponse(body)) {
      throw new JsonCallError(
        "The relay's response is not a JSON-RPC 2.0 response",
      );
    }
    if (body.error !== undefined) {
      throw body.error.code === STILL_READING
        ? new StillReadingError(decodeArrival(body.error.data))
        : new JsonCallError(body.error.message);
    }
    return decodeResponse(body.result);
  }

  close(): void {
    this.#clients.forEach((client) => client.close());
  }

  #clientOf(relay: Member): JsonClient {
    const { peerAddress } = relay;
    const known = this.#clients.get(peerAddress);
    if (known !== undefined) {
      return known;
    }
    const [host, port] = peerAddress.split(":");
    const client = new JsonClient({
      host: host!,
      port: Number(port),
      onSilentConnections: () => this.#onSilentConnections(relay),
    });
    this.#clients.set(peerAddress, client);
    return client;
  }
}

async function readRequestBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_REQUEST_BYTES) {
      throw new Error("The request body is too large");
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function encodeError(err: unknown): never {
  throw err instanceof StillReadingError
    ? new JSONRPCErrorException(err.message, STILL_READING, err.arrival)
    : err;
}
