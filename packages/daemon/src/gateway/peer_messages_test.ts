import { expect, test } from "vitest";
import { isHeartbeat } from "./peer_messages.ts";
import { memberNamed } from "./testing.ts";

const ADDRESSES = {
  callerAddress: "10.1.0.1:80",
  peerAddress: "10.1.0.1:81",
};

function heartbeatOf(addresses: Partial<typeof ADDRESSES>) {
  return {
    member: memberNamed("vm-1", { ...ADDRESSES, ...addresses }),
    seen: {},
    suspects: [],
  } as unknown as Parameters<typeof isHeartbeat>[0];
}

test("a heartbeat is read", () => {
  expect(isHeartbeat(heartbeatOf({}))).toBe(true);
});

test.each([
  [{ peerAddress: "10.1.0.1:70000" }],
  [{ peerAddress: "10.1.0.1" }],
  [{ callerAddress: "x" }],
])("a heartbeat with an address that is none is ignored (%j)", (addresses) => {
  // Sockets throw when they are to send to it.
  expect(isHeartbeat(heartbeatOf(addresses))).toBe(false);
});
