/**
 * The settings of one daemon: a JSON file with its identity, its listen addresses
 * and the address of the platform.
 *
 * @module
 */

import { isIP } from "node:net";
import * as z from "zod";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import { branded } from "./branded.ts";
import type { DocumentFormat, Issue } from "./document.ts";

const port = z.int().min(0).max(65535);
const milliseconds = z.int().min(1).max(3_600_000);

const listener = z.strictObject({
  host: z.string()
    .refine((host) => isIP(host) !== 0, "must be an IP address")
    .describe(
      "IP address to bind, also used as the source address of outgoing connections",
    ),
  port: port.describe("TCP port; 0 selects a free port"),
});

const limits = z.strictObject({
  headerBytes: z.int().min(1024).max(262_144).default(16_384)
    .describe("Maximum header size of a caller's request"),
  bodyBytes: z.int().min(0).max(1_073_741_824).default(8_388_608)
    .describe("Maximum body size of a caller's request"),
  headerTimeoutMs: milliseconds.default(5_000)
    .describe(
      "A caller that has not sent its complete header by then is disconnected",
    ),
  bodyIdleTimeoutMs: milliseconds.default(10_000)
    .describe("A caller that sends no body data for this long is disconnected"),
  connections: z.int().min(1).max(100_000).default(2_000)
    .describe("Maximum concurrent connections from callers"),
  storedAnswerBytes: z.int().min(0).max(1_048_576).default(65_536)
    .describe(
      "Maximum size of a response stored for retries of a keyed request",
    ),
});

const schema = z.strictObject({
  vm: branded<VmId>().describe("Name of this VM"),
  region: branded<RegionId>().describe("Region this VM is in"),
  zone: branded<ZoneId>().describe("Availability zone this VM is in"),
  listen: z.strictObject({
    caller: listener.describe("Listener for callers' look-ups and requests"),
    operator: listener.describe(
      "Listener for the operator's command, metrics and health",
    ),
    peer: listener.describe("Listener for the other VMs of the system"),
  }),
  platform: z.strictObject({
    url: z.url().describe(
      "Base address of the platform's table, object store and VM list",
    ),
    timeoutMs: milliseconds.default(2_000).describe(
      "Time-out for one response",
    ),
  }),
  secrets: z.strictObject({
    operatorTokensFile: z.string()
      .describe(
        "JSON object that maps operator names to tokens; the name is recorded in the audit trail",
      ),
    peerTokenFile: z.string().describe(
      "File with the token shared by all VMs of the system",
    ),
  }),
  callerHeader: z.string().regex(/^[a-z0-9-]+$/).default("poplarthread-caller")
    .describe(
      "Request header with the caller's name; without it, the remote address identifies the caller",
    ),
  limits: limits.prefault({}).describe("Limits of the caller listener"),
  log: z.strictObject({
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  }).prefault({}).describe("Logging as JSON lines to standard error"),
});

/** Validated settings of one daemon with all defaults applied. */
export type Settings = z.output<typeof schema>;

/** The settings format. */
export const settingsFormat: DocumentFormat<Settings> = {
  subject: "the settings",
  schema,
  crossCheck: checkSettings,
};

function checkSettings(settings: Settings): readonly Issue[] {
  const issues: Issue[] = [];
  const seen = new Map<string, string>();
  for (const [name, { host, port }] of Object.entries(settings.listen)) {
    const address = `${host}:${port}`;
    const other = seen.get(address);
    if (port !== 0 && other !== undefined) {
      issues.push({
        path: ["listen", name],
        message:
          `${address} is already used by /listen/${other}; each listener needs its own address`,
      });
    }
    seen.set(address, name);
  }
  return issues;
}
