/**
 * The preset: everything an operator decides about how traffic is steered.
 * Exactly one preset is in force at any time.
 *
 * @module
 */

import * as z from "zod";
import type { PresetId, RegionId, ServiceId, ZoneId } from "@poplarthread/ids";
import { branded } from "./branded.ts";
import type { Format } from "./document.ts";
import { checkPreset } from "./preset_check.ts";

const milliseconds = z.int().min(1).max(3_600_000);
const share = z.number().min(0).max(1);
const region = branded<RegionId>();
const service = branded<ServiceId>();

/** Name of a class of requests within a preset. */
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
    .describe("Requests that one target works on at once"),
  connectionsPerTarget: z.int().min(1).max(100_000)
    .describe("Connections that one target accepts, from all VMs together"),
  targets: z.record(region, z.int().min(0).max(100_000))
    .describe("Number of targets by region; what the capacity check counts"),
  utilisation: share.default(0.9)
    .describe("Largest share of a region's slots that a plan may hand out"),
});

const classSchema = z.strictObject({
  id: className,
  rank: z.int().min(0).max(9).describe("0 is served first"),
  maxWaitMs: z.int().min(0).max(60_000)
    .describe("Longest wait for a slot, also where the deadline is later"),
  reservedShare: share.default(0)
    .describe("Share of a service's slots that lower classes may not take"),
});

const routeSchema = z.strictObject({
  id: className,
  methods: z.array(
    z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]),
  ).min(1),
  path: z.string().regex(/^\/[^?#\s]*$/, "must be a path that starts with /")
    .describe("Path prefix, by whole segments; the longest match wins"),
  service,
  class: className,
  repeat: z.enum(["idempotent", "at-most-once"])
    .describe("Whether a request may be run again after it may have run"),
  deadlineMs: milliseconds
    .describe(
      "Time a request has when its caller names no deadline; the most a caller may name",
    ),
});

const linkSchema = z.strictObject({
  from: region,
  to: region,
  oneWayMs: z.number().min(0).max(10_000).describe("One-way delay"),
  maxInFlight: z.int().min(0).max(1_000_000)
    .describe(
      "Most requests in flight from region to region, of all VMs together",
    ),
});

const demandSchema = z.strictObject({
  region: region.describe("Where the callers are"),
  service,
  slots: z.number().min(0).max(1_000_000)
    .describe("Slots their requests keep busy at the expected peak"),
});

const shiftSchema = z.strictObject({
  stepMs: milliseconds.describe("Time between two steps of a shift"),
  maxStepShare: share
    .describe("Cap: most of a region's slots that one step may move into it"),
  coldStepShare: share
    .describe("Cap for a region whose caches are cold for the moved traffic"),
});

/** Schema of a preset, without the checks that look across its fields. */
export const presetSchema = z.strictObject({
  id: branded<PresetId>(),
  about: z.string().max(500).describe("For whom and when this preset is meant"),
  regions: z.array(regionSchema).min(1),
  services: z.array(serviceSchema).min(1),
  classes: z.array(classSchema).min(1),
  routes: z.array(routeSchema).min(1),
  links: z.array(linkSchema),
  demand: z.array(demandSchema),
  shift: shiftSchema,
  callerShare: share
    .describe(
      "Most of a service's slots that one caller may hold while others wait",
    ),
  retryShare: share
    .describe("Retries and hedges allowed per first attempt"),
  lookup: z.strictObject({
    lifetimeMs: milliseconds.describe(
      "How long a caller may cache a look-up's answer",
    ),
    regions: z.int().min(1).max(10).describe(
      "Regions that an answer spans, where there are as many",
    ),
  }),
});

/** A preset, checked and with every default filled in. */
export type Preset = z.output<typeof presetSchema>;
/** A region and its availability zones. */
export type PresetRegion = Preset["regions"][number];
/** A service and the capacity it has in each region. */
export type PresetService = Preset["services"][number];
/** A class of requests, by importance. */
export type PresetClass = Preset["classes"][number];
/** A route: which requests go to which service, and how they may be treated. */
export type PresetRoute = Preset["routes"][number];
/** A link from region to region with its limit. */
export type PresetLink = Preset["links"][number];

/** The preset format. */
export const presetFormat: Format<Preset> = {
  subject: "the preset",
  schema: presetSchema,
  crossCheck: checkPreset,
};
