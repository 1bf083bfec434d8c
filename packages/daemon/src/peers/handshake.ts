/**
 * The handshake of two VMs: each proves that it knows the shared token by an
 * HMAC over the nonces of both. The token itself never goes over the network,
 * and a recorded proof is worthless, since the other side's nonce is new.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { PeerProtocolError } from "../errors.ts";
import { type PeerId, PROTOCOL_VERSION } from "./messages.ts";

/** The first message of whoever connects. */
export interface Hello extends PeerId {
  readonly version: number;
  readonly nonce: string;
}

/** The answer to it. */
export interface Welcome extends Hello {
  readonly proof: string;
}

/** Who proves; keeps one side's proof from being played back as the other's. */
type Side = "connecting" | "listening";

const NONCE_BYTES = 24;

/** Makes the opening of one side. */
export function newHello(self: PeerId): Hello {
  return {
    ...self,
    version: PROTOCOL_VERSION,
    nonce: randomBytes(NONCE_BYTES).toString("base64url"),
  };
}

/** The proof of `side` over both openings. */
export function proofOf(
  token: string,
  parts: { side: Side; connecting: Hello; listening: Hello },
): string {
  const { side, connecting, listening } = parts;
  const text = JSON.stringify(
    [side, ...openingFields(connecting), ...openingFields(listening)],
  );
  return createHmac("sha256", token).update(text).digest("base64url");
}

/** Compares in constant time, so that a guess learns nothing from a refusal's delay. */
export function isSameProof(given: unknown, right: string): boolean {
  if (typeof given !== "string" || given.length !== right.length) {
    return false;
  }
  return timingSafeEqual(Buffer.from(given), Buffer.from(right));
}

/** Reads the other side's opening; throws {@link PeerProtocolError}. */
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
      throw new PeerProtocolError("Cannot read a handshake: a name is missing");
    }
  }
  return hello as Hello;
}

function openingFields(hello: Hello): readonly (string | number)[] {
  return [hello.version, hello.vm, hello.instance, hello.nonce];
}
