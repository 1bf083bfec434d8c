/**
 * The settings of one daemon: a JSON file that says who it is, where it
 * listens and where the platform is.
 *
 * @module
 */

import { isIP } from "node:net";
import * as z from "zod";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import { branded } from "./branded.ts";
import type { Complaint, Format } from "./document.ts";

const port = z.int().min(0).max(65535);
const milliseconds = z.int().min(1).max(3_600_000);

const listener = z.strictObject({
  host: z.string()
    .refine((host) => isIP(host) !== 0, "must be an IP number")
    .describe("IP number to bind, and to connect from"),
  port: port.describe("TCP port; 0 lets the system choose one"),
});

const limits = z.strictObject({
  headerBytes: z.int().min(1024).max(262_144).default(16_384)
    .describe("Largest header of a caller's request"),
  bodyBytes: z.int().min(0).max(1_073_741_824).default(8_388_608)
    .describe("Largest body of a caller's request"),
  headerTimeoutMs: milliseconds.default(5_000)
    .describe("A caller that has not sent its whole header by then is cut"),
  bodyIdleTimeoutMs: milliseconds.default(10_000)
    .describe("A caller that sends nothing of its body for this long is cut"),
  connections: z.int().min(1).max(100_000).default(2_000)
    .describe("Callers' connections at once"),
  storedAnswerBytes: z.int().min(0).max(1_048_576).default(65_536)
    .describe("Largest answer kept for repeats of a keyed request"),
});

const schema = z.strictObject({
  vm: branded<VmId>().describe("Name of this VM"),
  region: branded<RegionId>().describe("Region this VM is in"),
  zone: branded<ZoneId>().describe("Availability zone this VM is in"),
  listen: z.strictObject({
    caller: listener.describe("Callers' look-ups and requests"),
    operator: listener.describe("The operator's command, metrics and health"),
    peer: listener.describe("The other VMs of the system"),
  }),
  platform: z.strictObject({
    url: z.url().describe(
      "Base address of the platform's table, object store and VM list",
    ),
    timeoutMs: milliseconds.default(2_000).describe(
      "Longest wait for one answer",
    ),
  }),
  secrets: z.strictObject({
    operatorTokensFile: z.string()
      .describe(
        "JSON object of operator name to token; the name goes into the audit trail",
      ),
    peerTokenFile: z.string().describe(
      "File with the token that all VMs of the system share",
    ),
  }),
  callerHeader: z.string().regex(/^[a-z0-9-]+$/).default("poplarthread-caller")
    .describe(
      "Request header that names the caller; without it the remote address does",
    ),
  limits: limits.prefault({}).describe("Limits of the callers' listener"),
  log: z.strictObject({
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  }).prefault({}).describe("Logging, as JSON lines on standard error"),
});

/** The settings of one daemon, checked and with every default filled in. */
export type Settings = z.output<typeof schema>;

/** The settings format. */
export const settingsFormat: Format<Settings> = {
  subject: "the settings",
  schema,
  crossCheck: checkSettings,
};

function checkSettings(settings: Settings): readonly Complaint[] {
  const complaints: Complaint[] = [];
  const seen = new Map<string, string>();
  for (const [name, { host, port }] of Object.entries(settings.listen)) {
    const address = `${host}:${port}`;
    const other = seen.get(address);
    if (port !== 0 && other !== undefined) {
      complaints.push({
        path: ["listen", name],
        message:
          `${address} is taken by listen/${other}; each listener needs its own`,
      });
    }
    seen.set(address, name);
  }
  return complaints;
}
