/**
 * Relay requests between VMs on real sockets.
 *
 * @module
 */

import { connect } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { loopbackAddress } from "../loopback.ts";
import {
  RelayClient,
  RelayListener,
  type RelayRequest,
  type RelayResponse,
} from "./relay.ts";
import { memberNamed } from "./testing.ts";

const HOST = loopbackAddress(77);
const PORT = 17_720;
const RELAY = memberNamed("vm-1", { peerAddress: `${HOST}:${PORT}` });
const REQUEST = {
  version: 3,
  era: 2,
  waitMs: 100,
  isPatient: false,
  mayReplace: true,
};

const RESPONSE: RelayResponse = {
  era: 2,
  isWhole: true,
  rows: [],
  position: 6,
  ageMs: 12,
  readAgeMs: 1_200,
  heldMs: 40,
  isSecondHand: false,
  isLost: false,
  isReading: false,
  regainedMs: undefined,
};

let client: RelayClient;
let listener: RelayListener;
let response: RelayResponse | undefined;
let handled: (request: RelayRequest) => void;

beforeEach(async () => {
  response = undefined;
  handled = () => undefined;
  client = new RelayClient(() => undefined);
  listener = new RelayListener({
    listen: { host: HOST, port: PORT },
    handler: (_subject, request) => {
      handled(request);
      return Promise.resolve(response);
    },
  });
  await listener.start({ failed: () => undefined });
});

afterEach(async () => {
  client.close();
  await listener.stop();
});

test("a response arrives unchanged, including bytes that are not text", async () => {
  response = {
    era: 2,
    isWhole: false,
    rows: [
      { key: "a", value: Buffer.from([0xff, 0x00]), version: 4 },
      { key: "b", value: undefined, version: 5 },
    ],
    position: 6,
    ageMs: 12,
    readAgeMs: 1_200,
    heldMs: 40,
    isSecondHand: false,
    isLost: true,
    isReading: false,
    regainedMs: undefined,
  };
  expect(await client.requestChanges(RELAY, "targets", REQUEST)).toEqual(
    response,
  );
});

test("large rows are packed for a VM that reads them, and sent plainly to one of an older version", async () => {
  const value = Buffer.alloc(200_000, "a route ");
  response = { ...RESPONSE, rows: [{ key: "a", value, version: 4 }] };
  const { rows } = await client.requestChanges(RELAY, "operator", REQUEST);
  expect(rows).toEqual(response.rows);
  const received = await Promise.all(
    [{ readsPacked: true }, {}].map((fields) => rawResponse(fields)),
  );
  expect(received[0]!.length).toBeLessThan(value.length / 20);
  expect(JSON.parse(received[1]!).result.rows).toEqual([
    { key: "a", version: 4, value: value.toString("base64") },
  ]);
});

/** The relay's response to a request with additional fields. */
async function rawResponse(fields: object): Promise<string> {
  const params = { subject: "operator", ...REQUEST, ...fields };
  const body = { jsonrpc: "2.0", id: 1, method: "changes", params };
  const res = await fetch(`http://${HOST}:${PORT}/`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  return await res.text();
}

test("the numbering of versions arrives, also if it is left out", async () => {
  const received: RelayRequest[] = [];
  handled = (request) => received.push(request);
  response = { ...RESPONSE, numbering: 2 ** 47 };
  const request = { ...REQUEST, numbering: 7 };
  const { numbering } = await client.requestChanges(RELAY, "targets", request);
  await client.requestChanges(RELAY, "targets", REQUEST);
  expect(numbering).toBe(2 ** 47);
  expect(received.map((each) => each.numbering)).toEqual([7, undefined]);
});

test.each(["ageMs", "readAgeMs", "heldMs", "regainedMs"])(
  "a response whose %s lies in the future is not used",
  async (field) => {
    response = { ...RESPONSE, [field]: -3_600_000 };
    await expect(client.requestChanges(RELAY, "targets", REQUEST))
      .rejects.toThrow(field);
  },
);

test("a VM that has not read the subject yet responds with an error", async () => {
  await expect(client.requestChanges(RELAY, "targets", REQUEST))
    .rejects.toThrow("nothing read yet");
});

test("a request to a VM that does not respond times out", async () => {
  await listener.stop();
  listener = new RelayListener({
    listen: { host: HOST, port: PORT },
    handler: () => new Promise(() => undefined),
  });
  await listener.start({ failed: () => undefined });
  const startedAt = performance.now();
  await expect(client.requestChanges(RELAY, "targets", REQUEST)).rejects
    .toThrow();
  expect(performance.now() - startedAt).toBeLessThan(2_000);
});

test("a request that is too large closes its connection and no other", async () => {
  const socket = connect(PORT, HOST);
  socket.on("error", () => undefined);
  socket.resume();
  socket.write(
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" +
      "x".repeat(100_000),
  );
  // A reset counts as a close, too.
  await new Promise((resolve) => socket.on("close", resolve));
  response = {
    era: 2,
    isWhole: true,
    rows: [],
    position: 1,
    ageMs: 0,
    readAgeMs: 1_200,
    heldMs: 40,
    isSecondHand: false,
    isLost: true,
    isReading: false,
    regainedMs: 5,
  };
  expect(await client.requestChanges(RELAY, "members", REQUEST)).toEqual(
    response,
  );
});
