/**
 * The handshake between two VMs: each proves that it knows the shared token with
 * an HMAC over the nonces of both sides. The token itself is never sent, and a
 * recorded proof cannot be replayed, since the other side's nonce is new.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { PeerProtocolError } from "../errors.ts";
import { type PeerId, PROTOCOL_VERSION } from "./messages.ts";

/** The first message of the connecting side. */
export interface Hello extends PeerId {
  readonly version: number;
  readonly nonce: string;
}

/** The response to {@link Hello}. */
export interface Welcome extends Hello {
  readonly proof: string;
}

/** The side that proves; prevents replaying one side's proof as the other's. */
type Side = "connecting" | "listening";

const NONCE_BYTES = 24;

/** Creates the hello message of one side. */
export function newHello(self: PeerId): Hello {
  return {
    ...self,
    version: PROTOCOL_VERSION,
    nonce: randomBytes(NONCE_BYTES).toString("base64url"),
  };
}

/** Computes the proof of `side` over both hello messages. */
export function computeProof(
  token: string,
  parts: { side: Side; connecting: Hello; listening: Hello },
): string {
  const { side, connecting, listening } = parts;
  const text = JSON.stringify(
    [side, ...helloFields(connecting), ...helloFields(listening)],
  );
  return createHmac("sha256", token).update(text).digest("base64url");
}

/** Compares in constant time, so that response times reveal nothing about a guess. */
export function proofsMatch(given: unknown, expected: string): boolean {
  if (typeof given !== "string" || given.length !== expected.length) {
    return false;
  }
  return timingSafeEqual(Buffer.from(given), Buffer.from(expected));
}

/** Validates the other side's hello message; throws {@link PeerProtocolError}. */
export function readHello(value: unknown): Hello {
  const hello = value as Partial<Hello> | null;
  if (typeof hello !== "object" || hello === null) {
    throw new PeerProtocolError("Cannot read a handshake: not an object");
  }
  const { version, vm, instance, nonce } = hello;
  if (version !== PROTOCOL_VERSION) {
    throw new PeerProtocolError(
      `Cannot speak protocol version ${
        String(version).slice(0, 20)
      }: this is ${PROTOCOL_VERSION}`,
    );
  }
  for (const text of [vm, instance, nonce]) {
    if (typeof text !== "string" || text === "" || text.length > 200) {
      throw new PeerProtocolError(
        "Cannot read a handshake: VM, instance and nonce must have 1 to 200 characters",
      );
    }
  }
  return hello as Hello;
}

function helloFields(hello: Hello): readonly (string | number)[] {
  return [hello.version, hello.vm, hello.instance, hello.nonce];
}
