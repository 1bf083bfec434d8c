/**
 * Responses whose connection ends in the middle of their header.
 *
 * @module
 */

import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { pause } from "../pause.ts";
import type { Dialect, TargetResponse } from "./ports.ts";
import { SocketTarget } from "./socket_target.ts";
import { TargetAttempt, type TargetAttemptEnd } from "./target_attempt.ts";

const REQUEST_ID = "r-1";
const LINES = `Request-Id: ${REQUEST_ID}\r\nX-Proof: s\r\n`;
const LENGTH = "Content-Length: 4\r\n";

/** Headers by what ends their body, and by what comes first. */
const HEADS = {
  "with a length at the end": `HTTP/1.1 200 OK\r\n${LINES}${LENGTH}\r\n`,
  "with a length at the start": `HTTP/1.1 200 OK\r\n${LENGTH}${LINES}\r\n`,
  "that ends with its connection":
    `HTTP/1.1 200 OK\r\nConnection: close\r\n${LINES}\r\n`,
  "of HTTP/1.0": `HTTP/1.0 200 OK\r\n${LINES}\r\n`,
  "in chunks": `HTTP/1.1 200 OK\r\n${LINES}Transfer-Encoding: chunked\r\n\r\n`,
  "after an interim response":
    `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n${LINES}${LENGTH}\r\n`,
  "after an interim response that closes":
    `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\n${LINES}\r\n`,
} as const;
type Form = keyof typeof HEADS;

/** How the header arrives before its connection ends. */
const ARRIVALS = {
  "closed": (socket: Socket, head: string) => socket.end(head),
  "reset": (socket: Socket, head: string) =>
    socket.write(head, () => socket.resetAndDestroy()),
  "closed after pieces": async (socket: Socket, head: string) => {
    const third = Math.ceil(head.length / 3);
    for (let at = 0; at < head.length; at += third) {
      socket.write(head.slice(at, at + third));
      await pause(1);
    }
    socket.end();
  },
} as const;
type Arrival = keyof typeof ARRIVALS;

const COMPLETE = (id: string) =>
  `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nX-Proof: s\r\n` +
  `${LENGTH}\r\nfine`;

let target: SocketTarget;

beforeEach(async () => {
  target = new SocketTarget();
  await target.start();
});

afterEach(() => target.stop());

/** Reads what an attempt needs of a response. */
function readResponse(status: number, raw: readonly Uint8Array[]) {
  const texts = raw.map((value) => String(value).toLowerCase());
  const valueOf = (name: string) => {
    const index = texts.indexOf(name);
    return index < 0 ? undefined : texts[index + 1];
  };
  return {
    status,
    requestId: valueOf("request-id"),
    isStamped: texts.includes("x-proof"),
    isChunked: texts.includes("transfer-encoding"),
    contentLength: Number(valueOf("content-length") ?? -1),
    isNotRun: false,
  } as TargetResponse;
}

/** Sends a request; resolves with how the attempt ended. */
function attempt(requestId: string): Promise<TargetAttemptEnd["kind"]> {
  const { connections } = target;
  const connection = connections.take(target.target, requestId);
  return new Promise((resolve) => {
    const sent = new TargetAttempt({
      attemptWriting: () => true,
      attemptBuffering: () => true,
      attemptStreaming: () => true,
      attemptChunk: () => true,
      attemptEnded: (_attempt, { kind }) => {
        if (kind === "answered") {
          connections.release(connection);
        } else {
          connections.drop(connection);
        }
        resolve(kind);
      },
    }, {
      target: connection.target,
      requestId,
      connection,
      dialect: { readResponse } as Partial<Dialect> as Dialect,
    });
    connection.dispatch({ method: "POST", path: "/", headers: [] }, sent);
  });
}

const CASES = (Object.keys(HEADS) as Form[]).flatMap((form) =>
  (Object.keys(ARRIVALS) as Arrival[]).map((arrival) => ({ form, arrival }))
);

test.each(CASES)(
  "a header $form does not pass for a response wherever it is cut, when its connection is $arrival",
  async ({ form, arrival }) => {
    // The caller would get a short or empty body that looks whole.
    const head = HEADS[form];
    const ends = new Set<string>();
    for (let bytes = 1; bytes < head.length; bytes++) {
      target.respond = (socket) =>
        void ARRIVALS[arrival](socket, head.slice(0, bytes));
      ends.add(await attempt(REQUEST_ID));
    }
    expect([...ends]).toEqual(["broke"]);
  },
);

test.each(["that ends with its connection", "of HTTP/1.0"] as const)(
  "a whole header %s is a response without a body",
  async (form) => {
    target.respond = (socket) => socket.end(HEADS[form]);
    expect(await attempt(REQUEST_ID)).toBe("answered");
  },
);

test.each(["closed", "reset"] as const)(
  "the same on a connection that has carried a whole response, when it is %s",
  async (arrival) => {
    const head = HEADS["with a length at the end"];
    const ends = new Set<string>();
    for (let bytes = 1; bytes < head.length; bytes++) {
      target.respond = (socket) => socket.write(COMPLETE("r-0"));
      expect(await attempt("r-0")).toBe("answered");
      await pause(1);
      target.respond = (socket) =>
        void ARRIVALS[arrival](socket, head.slice(0, bytes));
      ends.add(await attempt(REQUEST_ID));
    }
    expect([...ends]).toEqual(["broke"]);
  },
);

test("a cut header that follows a whole response belongs to no request", async () => {
  for (let bytes = 1; bytes < 40; bytes++) {
    target.respond = (socket) =>
      socket.end(COMPLETE(REQUEST_ID) + COMPLETE("r-2").slice(0, bytes));
    expect(await attempt(REQUEST_ID)).toBe("answered");
    await pause(1);
  }
});
