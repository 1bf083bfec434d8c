import { expect, test } from "vitest";
import { isSocketAddress } from "./socket_address.ts";

test.each([
  ["10.1.0.1:80", true],
  ["127.0.0.1:1", true],
  ["127.0.0.1:65535", true],
  ["127.0.0.1:0", false],
  ["127.0.0.1:65536", false],
  ["127.0.0.1", false],
  ["127.0.0.1:", false],
  [`127.0.0.1:${"1".repeat(400)}`, false],
  ["127.0.0.1:80\n", false],
  ["999.1.1.1:80", false],
  ["1.1.1:80", false],
  ["host:80", false],
  ["", false],
])("%j names a socket: %s", (text, isAddress) => {
  expect(isSocketAddress(text)).toBe(isAddress);
});
