/**
 * Deployments and days for the fleet emulator, as JSON documents that are
 * checked before they are played.
 *
 * @module
 */

import { type Complaint, readDocument } from "@poplarthread/config";
import * as z from "zod";

const positive = z.number().positive();
const count = z.number().int().nonnegative();
const share = z.number().min(0).max(1);
const byZone = z.record(z.string(), count);
/** Seconds from the start of traffic. */
const at = z.number().nonnegative();

/** How requests of a zone vary: a wave, in shares of the mean rate and in seconds. */
const wave = z.strictObject({ swing: share, periodS: positive, phase: share });

const kind = z.strictObject({
  name: z.string(),
  /** Services and their weights; more than one is a split. */
  services: z.record(z.string(), positive),
  repeat: z.enum(["idempotent", "at-most-once"]),
  aimMs: positive,
  deadlineMs: positive,
  timeoutMs: positive,
  /** What an answer is worth in time, and late. */
  worth: positive,
  lateWorth: z.number().nonnegative(),
  /** Rank of its route; 0 goes first. */
  priority: count,
  /** Times a caller asks again. */
  retries: count,
  /** Work on a target that does not keep the object, and its relative spread. */
  workMs: positive,
  spread: share,
  /** Objects that are asked for, and how unevenly (0: all alike). */
  objects: count,
  /** Each region asks for objects of its own. */
  perRegion: z.boolean().default(false),
  skew: z.number().nonnegative(),
  /** Share of the work that is saved on a target that keeps the object. */
  warmGain: share,
});

const service = z.strictObject({
  name: z.string(),
  /** Targets by zone. */
  targets: byZone,
  slots: positive,
  /** Requests that wait at a target before it refuses. */
  queue: count,
  /** Objects that a target keeps. */
  keeps: positive,
  /** Time for which a target is slow after its start, and how slow. */
  coldMs: z.number().nonnegative(),
  coldFactor: positive,
  coldPerSecond: positive,
});

const event = z.discriminatedUnion("kind", [
  /** Many callers come at once: the rate, times `factor`. */
  z.strictObject({
    kind: z.literal("burst"),
    at,
    forS: positive,
    factor: positive,
  }),
  /** A share of a zone's requests comes in another zone. */
  z.strictObject({
    kind: z.literal("shift"),
    at,
    forS: positive,
    share,
    from: z.string(),
    to: z.string(),
  }),
  /** Targets work so many times as long. */
  z.strictObject({
    kind: z.literal("slow"),
    at,
    forS: positive,
    share,
    factor: positive,
  }),
  /** Targets fail a part of their requests. */
  z.strictObject({
    kind: z.literal("grey"),
    at,
    forS: positive,
    share,
    fails: share,
  }),
  /** Targets crash; they are back, empty, after `forS`, or never if it is left out. */
  z.strictObject({
    kind: z.literal("crash"),
    at,
    share,
    forS: positive.optional(),
  }),
  /** Targets of a zone go down together and come back empty. */
  z.strictObject({
    kind: z.literal("zone-returns"),
    at,
    forS: positive,
    zone: z.string(),
  }),
  /** Targets announce that they leave. */
  z.strictObject({ kind: z.literal("scale-in"), at, share }),
  /** Empty targets join. */
  z.strictObject({ kind: z.literal("scale-out"), at, share }),
  /** Targets are replaced one after the other. */
  z.strictObject({
    kind: z.literal("release"),
    at,
    share,
    gapS: positive,
  }),
  /** Nothing more is sent to a zone's targets. */
  z.strictObject({
    kind: z.literal("evacuate"),
    at,
    forS: positive,
    zone: z.string(),
  }),
  /** VMs lose all they know and are back after `forS`. */
  z.strictObject({
    kind: z.literal("restart-vms"),
    at,
    forS: positive,
    share,
  }),
]);

const schema = z.strictObject({
  name: z.string(),
  /** Seconds of traffic. */
  seconds: positive,
  zones: z.array(
    z.strictObject({ name: z.string(), region: z.string(), vms: count }),
  ).min(1),
  /** One-way delays, in milliseconds. */
  delaysMs: z.strictObject({
    inZone: z.number().nonnegative(),
    crossZone: z.number().nonnegative(),
    crossRegion: z.number().nonnegative(),
    caller: z.number().nonnegative(),
    newConnection: z.number().nonnegative(),
    /** From a change in the platform's list to the VMs that follow it. */
    news: z.number().nonnegative(),
    /** From a VM's use of a target to the word of it at the other VMs of its zone, and of its region. */
    warmNearMs: z.number().nonnegative().default(150),
    warmFarMs: z.number().nonnegative().default(600),
  }),
  /** Time until the platform drops the entry of a target that is silent. */
  silentEntryS: positive,
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
    /** Kinds in the proportion of their weights. */
    mix: z.record(z.string(), positive),
    wave: wave.optional(),
  })).min(1),
  events: z.array(event),
});

/** One day of one deployment. */
export type Scenario = z.output<typeof schema>;
/** A kind of request. */
export type RequestKind = Scenario["kinds"][number];
/** A service that targets offer. */
export type ScenarioService = Scenario["services"][number];
/** What happens in a day. */
export type ScenarioEvent = Scenario["events"][number];

/** Reads a scenario; throws a FindingsError with all that is wrong in it. */
export function readScenario(text: string): Scenario {
  return readDocument(text, { subject: "the scenario", schema, crossCheck });
}

function crossCheck(scenario: Scenario): readonly Complaint[] {
  const zones = new Set(scenario.zones.map(({ name }) => name));
  const services = new Set(scenario.services.map(({ name }) => name));
  const kinds = new Set(scenario.kinds.map(({ name }) => name));
  const complaints: Complaint[] = [];
  function known(name: string, names: Set<string>, path: Complaint["path"]) {
    if (!names.has(name)) {
      complaints.push({ path, message: `unknown name ${name}` });
    }
  }
  scenario.services.forEach((one, at) => {
    for (const zone of Object.keys(one.targets)) {
      known(zone, zones, ["services", at, "targets", zone]);
    }
  });
  scenario.kinds.forEach((one, at) => {
    for (const name of Object.keys(one.services)) {
      known(name, services, ["kinds", at, "services", name]);
    }
  });
  scenario.traffic.forEach((one, at) => {
    known(one.zone, zones, ["traffic", at, "zone"]);
    for (const name of Object.keys(one.mix)) {
      known(name, kinds, ["traffic", at, "mix", name]);
    }
  });
  scenario.events.forEach((one, at) => {
    if ("zone" in one) {
      known(one.zone, zones, ["events", at, "zone"]);
    }
    if ("from" in one) {
      known(one.from, zones, ["events", at, "from"]);
      known(one.to, zones, ["events", at, "to"]);
    }
  });
  return complaints;
}
