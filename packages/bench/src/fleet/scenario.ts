/**
 * Format of the fleet emulator's scenarios: JSON documents that describe a deployment,
 * its traffic and its events, and are validated before they run.
 *
 * @module
 */

import { type Issue, readDocument } from "@poplarthread/config";
import * as z from "zod";

const positive = z.number().positive();
const count = z.number().int().nonnegative();
const share = z.number().min(0).max(1);
const byZone = z.record(z.string(), count);
/** Time from the start of the traffic, in seconds. */
const at = z.number().nonnegative();

/**
 * Sinusoidal variation of a zone's request rate: `swing` is the amplitude as a share of the
 * mean rate, `phase` a share of the period.
 */
const wave = z.strictObject({ swing: share, periodS: positive, phase: share });

const kind = z.strictObject({
  name: z.string(),
  /** Services and their weights; with more than one, requests are split between them. */
  services: z.record(z.string(), positive),
  repeat: z.enum(["idempotent", "at-most-once"]),
  aimMs: positive,
  deadlineMs: positive,
  timeoutMs: positive,
  /** Worth of a response that meets the latency objective `aimMs`, and of a later one. */
  worth: positive,
  lateWorth: z.number().nonnegative(),
  /** Priority of its route; 0 is the highest. */
  priority: count,
  /** Maximum number of retries by the caller. */
  retries: count,
  /** Mean work on a target without the object in its cache, and its relative standard deviation. */
  workMs: positive,
  spread: share,
  /** Number of distinct objects that are requested; 0 if requests have none. */
  objects: count,
  /** Whether each region has objects of its own. */
  perRegion: z.boolean().default(false),
  /** Zipf exponent of the objects' popularity; 0 makes all equally popular. */
  skew: z.number().nonnegative(),
  /** Share of the work that is saved on a target that has the object cached. */
  warmGain: share,
  /** A share of the requests takes `factor` times as long; none if omitted. */
  tails: z.strictObject({ share, factor: positive }).optional(),
});

/**
 * Pace of the targets' machines, which they report with their load: at any time a
 * share of them takes `factor` times as long for its work, each for `spellMs`.
 */
const pace = z.strictObject({ share, factor: positive, spellMs: positive });

const service = z.strictObject({
  name: z.string(),
  /** Number of targets by zone. */
  targets: byZone,
  slots: positive,
  /** Maximum number of requests that wait at a target; it refuses any beyond that. */
  queue: count,
  /** Capacity of a target's cache, in objects. */
  keeps: positive,
  /** Time for which a target is slow after its start, and the factor on its work meanwhile. */
  coldMs: z.number().nonnegative(),
  coldFactor: positive,
  /** Requests a second that a target can take while it is slow. */
  coldPerSecond: positive,
  /** Without it, machines always run at the usual pace and report none. */
  pace: pace.optional(),
});

const event = z.discriminatedUnion("kind", [
  /** The request rate of all zones is multiplied by `factor`, for one kind of request or all. */
  z.strictObject({
    kind: z.literal("burst"),
    at,
    forS: positive,
    factor: positive,
    requestKind: z.string().optional(),
  }),
  /** A share of the requests of zone `from` arrives in zone `to`. */
  z.strictObject({
    kind: z.literal("shift"),
    at,
    forS: positive,
    share,
    from: z.string(),
    to: z.string(),
  }),
  /** A share of the targets takes `factor` times as long for its work. */
  z.strictObject({
    kind: z.literal("slow"),
    at,
    forS: positive,
    share,
    factor: positive,
  }),
  /** A share of the targets fails the share `fails` of its requests. */
  z.strictObject({
    kind: z.literal("grey"),
    at,
    forS: positive,
    share,
    fails: share,
  }),
  /** All targets of a service refuse a share of the requests that they get. */
  z.strictObject({
    kind: z.literal("shed"),
    at,
    forS: positive,
    service: z.string(),
    share,
  }),
  /** A share of the targets crashes and restarts with empty caches after `forS`; never if omitted. */
  z.strictObject({
    kind: z.literal("crash"),
    at,
    share,
    forS: positive.optional(),
  }),
  /** All targets of a zone crash together and restart with empty caches after `forS`. */
  z.strictObject({
    kind: z.literal("zone-returns"),
    at,
    forS: positive,
    zone: z.string(),
  }),
  /** A share of the targets announces that it is leaving, and stops. */
  z.strictObject({ kind: z.literal("scale-in"), at, share }),
  /** New targets with empty caches join, as many as this share of the present ones. */
  z.strictObject({ kind: z.literal("scale-out"), at, share }),
  /** A share of the targets is replaced, one every `gapS`. */
  z.strictObject({
    kind: z.literal("release"),
    at,
    share,
    gapS: positive,
  }),
  /** No more requests are sent to the targets of a zone. */
  z.strictObject({
    kind: z.literal("evacuate"),
    at,
    forS: positive,
    zone: z.string(),
  }),
  /** A share of the VMs stops, and restarts without state after `forS`. */
  z.strictObject({
    kind: z.literal("restart-vms"),
    at,
    forS: positive,
    share,
  }),
  /** The VMs that own homes of objects stop, and restart without state after `forS`; never if omitted. */
  z.strictObject({
    kind: z.literal("kill-home-owner"),
    at,
    forS: positive.optional(),
  }),
]);

const schema = z.strictObject({
  name: z.string(),
  /** Duration of the traffic. */
  seconds: positive,
  zones: z.array(
    z.strictObject({ name: z.string(), region: z.string(), vms: count }),
  ).min(1),
  /** One-way delays, unless said otherwise. */
  delaysMs: z.strictObject({
    inZone: z.number().nonnegative(),
    crossZone: z.number().nonnegative(),
    crossRegion: z.number().nonnegative(),
    caller: z.number().nonnegative(),
    /** Time to set up a connection to a target, beyond one round trip. */
    newConnection: z.number().nonnegative(),
    /** Time after which an idle connection to a target is closed; never if omitted. */
    idleTimeout: positive.optional(),
    /** From a change of the platform's list until the VMs receive it. */
    news: z.number().nonnegative(),
    /** From a VM's use of a target until the other VMs of its zone, and of its region, know it is warm. */
    warmNearMs: z.number().nonnegative().default(150),
    warmFarMs: z.number().nonnegative().default(600),
  }),
  /** Whether the targets' entries state when they started: their objects then get homes by load. */
  startTimes: z.boolean().default(false),
  /** Share of the messages about homes that are lost. */
  homeLossShare: share.default(0),
  /** Time until the platform removes the entry of an unresponsive target. */
  silentEntryS: positive,
  /** Bound on the retries of all VMs to a service: `fixed` plus `ratio` of the requests, in any window. */
  retries: z.strictObject({
    ratio: z.number().nonnegative(),
    fixed: z.number().nonnegative(),
    windowS: positive,
  }),
  services: z.array(service).min(1),
  kinds: z.array(kind).min(1),
  traffic: z.array(z.strictObject({
    zone: z.string(),
    perSecond: positive,
    /** Kinds of request and their weights. */
    mix: z.record(z.string(), positive),
    wave: wave.optional(),
  })).min(1),
  events: z.array(event),
});

/** A deployment with its traffic and events. */
export type Scenario = z.output<typeof schema>;
/** A kind of request. */
export type RequestKind = Scenario["kinds"][number];
/** A service that targets offer. */
export type ScenarioService = Scenario["services"][number];
/** A fault, load change or planned operation of a scenario. */
export type ScenarioEvent = Scenario["events"][number];

/** Parses and validates a scenario; throws a FindingsError that lists all that is invalid. */
export function readScenario(text: string): Scenario {
  return readDocument(text, { subject: "the scenario", schema, crossCheck });
}

function crossCheck(scenario: Scenario): readonly Issue[] {
  const zones = new Set(scenario.zones.map(({ name }) => name));
  const services = new Set(scenario.services.map(({ name }) => name));
  const kinds = new Set(scenario.kinds.map(({ name }) => name));
  const complaints: Issue[] = [];
  function checkDefined(
    name: string,
    names: Set<string>,
    path: Issue["path"],
  ) {
    if (!names.has(name)) {
      complaints.push({
        path,
        message: `${name} is not defined in this scenario`,
      });
    }
  }
  scenario.services.forEach((one, index) => {
    for (const zone of Object.keys(one.targets)) {
      checkDefined(zone, zones, ["services", index, "targets", zone]);
    }
  });
  scenario.kinds.forEach((one, index) => {
    for (const name of Object.keys(one.services)) {
      checkDefined(name, services, ["kinds", index, "services", name]);
    }
  });
  scenario.traffic.forEach((one, index) => {
    checkDefined(one.zone, zones, ["traffic", index, "zone"]);
    for (const name of Object.keys(one.mix)) {
      checkDefined(name, kinds, ["traffic", index, "mix", name]);
    }
  });
  scenario.events.forEach((one, index) => {
    if ("zone" in one) {
      checkDefined(one.zone, zones, ["events", index, "zone"]);
    }
    if ("from" in one) {
      checkDefined(one.from, zones, ["events", index, "from"]);
      checkDefined(one.to, zones, ["events", index, "to"]);
    }
    if ("service" in one) {
      checkDefined(one.service, services, ["events", index, "service"]);
    }
    if ("requestKind" in one && one.requestKind !== undefined) {
      checkDefined(one.requestKind, kinds, ["events", index, "requestKind"]);
    }
  });
  return complaints;
}
