/**
 * The preset: all traffic steering parameters that an operator sets. Exactly one
 * preset is in force at any time.
 *
 * @module
 */

import * as z from "zod";
import type { PresetId, RegionId, ServiceId, ZoneId } from "@poplarthread/ids";
import { branded } from "./branded.ts";
import type { DocumentFormat } from "./document.ts";
import { checkPreset } from "./preset_check.ts";

const milliseconds = z.int().min(1).max(3_600_000);
const share = z.number().min(0).max(1);
const region = branded<RegionId>();
const service = branded<ServiceId>();

/** Id of a request class or route within a preset. */
const className = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);

const regionSchema = z.strictObject({
  id: region,
  zones: z.array(branded<ZoneId>()).min(1).describe(
    "Availability zones of the region",
  ),
});

const serviceSchema = z.strictObject({
  id: service,
  slotsPerTarget: z.int().min(1).max(10_000)
    .describe("Requests that one target processes concurrently"),
  connectionsPerTarget: z.int().min(1).max(100_000)
    .describe("Connections that one target accepts from all VMs together"),
  targets: z.record(region, z.int().min(0).max(100_000))
    .describe("Number of targets by region, used by the capacity check"),
  utilisation: share.default(0.9)
    .describe("Maximum share of a region's slots that a plan may allocate"),
});

const classSchema = z.strictObject({
  id: className,
  rank: z.int().min(0).max(9).describe("0 is served first"),
  maxWaitMs: z.int().min(0).max(60_000)
    .describe("Maximum wait for a slot, even if the deadline is later"),
  reservedShare: share.default(0)
    .describe(
      "Share of a service's slots that lower-ranked classes may not use",
    ),
});

const routeSchema = z.strictObject({
  id: className,
  methods: z.array(
    z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]),
  ).min(1),
  path: z.string().regex(/^\/[^?#\s]*$/, "must be a path that starts with /")
    .describe(
      "Path prefix, matched by complete segments; the longest match wins",
    ),
  service,
  class: className,
  repeat: z.enum(["idempotent", "at-most-once"])
    .describe("Whether a request that may already have run may be retried"),
  deadlineMs: milliseconds
    .describe(
      "Default deadline of a request, and the maximum that its caller may set",
    ),
});

const linkSchema = z.strictObject({
  from: region,
  to: region,
  oneWayMs: z.number().min(0).max(10_000).describe("One-way delay"),
  maxInFlight: z.int().min(0).max(1_000_000)
    .describe(
      "Maximum requests in flight on the link, over all VMs",
    ),
});

const demandSchema = z.strictObject({
  region: region.describe("Region of the callers"),
  service,
  slots: z.number().min(0).max(1_000_000)
    .describe("Slots that their requests occupy at the expected peak"),
});

const shiftSchema = z.strictObject({
  stepMs: milliseconds.describe(
    "Interval between two steps of a traffic shift",
  ),
  maxStepShare: share
    .describe(
      "Maximum share of a region's slots that one step may fill with shifted traffic",
    ),
  coldStepShare: share
    .describe(
      "The same maximum for a region whose caches are cold for the shifted traffic",
    ),
});

/** Schema of a preset, without the checks across fields. */
export const presetSchema = z.strictObject({
  id: branded<PresetId>(),
  about: z.string().max(500).describe(
    "Purpose of this preset: for whom and when it is used",
  ),
  regions: z.array(regionSchema).min(1),
  services: z.array(serviceSchema).min(1),
  classes: z.array(classSchema).min(1),
  routes: z.array(routeSchema).min(1),
  links: z.array(linkSchema),
  demand: z.array(demandSchema),
  shift: shiftSchema,
  callerShare: share
    .describe(
      "Maximum share of a service's slots that one caller may occupy while others wait",
    ),
  retryShare: share
    .describe("Retries and hedged requests allowed per first attempt"),
  lookup: z.strictObject({
    lifetimeMs: milliseconds.describe(
      "How long a caller may cache a look-up response",
    ),
    regions: z.int().min(1).max(10).describe(
      "Number of regions in a look-up response, if that many exist",
    ),
  }),
});

/** A validated preset with all defaults applied. */
export type Preset = z.output<typeof presetSchema>;
/** A region and its availability zones. */
export type PresetRegion = Preset["regions"][number];
/** A service and its capacity in each region. */
export type PresetService = Preset["services"][number];
/** A request class, ranked by importance. */
export type PresetClass = Preset["classes"][number];
/** A route: which requests go to which service, and how they may be handled. */
export type PresetRoute = Preset["routes"][number];
/** A directed link between two regions with its limit. */
export type PresetLink = Preset["links"][number];

/** The preset format. */
export const presetFormat: DocumentFormat<Preset> = {
  subject: "the preset",
  schema: presetSchema,
  crossCheck: checkPreset,
};
