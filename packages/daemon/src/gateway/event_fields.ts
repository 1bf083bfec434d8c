/**
 * The fields of the log lines and their meaning.
 *
 * @module
 */

import type { LogFields } from "../log.ts";

/** A field of a log line. */
export interface FieldDescription {
  readonly type: "text" | "number";
  readonly meaning: string;
}

/** All fields. */
export const FIELDS = {
  request: { type: "text", meaning: "the caller's id of the request" },
  route: { type: "text", meaning: "name of the route" },
  revision: {
    type: "number",
    meaning: "version of the configuration that was in force on this VM",
  },
  offered: {
    type: "number",
    meaning: "version of the configuration that was not put in force",
  },
  previous: {
    type: "number",
    meaning: "version of the configuration that was in force before",
  },
  lateMs: {
    type: "number",
    meaning:
      "time in milliseconds for which the order to stop may have waited to be noticed",
  },
  storeVersion: {
    type: "number",
    meaning:
      "version of the store's newest row of the operator that this VM has read",
  },
  operatorMs: {
    type: "number",
    meaning:
      "age of this VM's copy of what operators wrote, in milliseconds: time since the store last confirmed it",
  },
  service: { type: "text", meaning: "service of the route, or of the target" },
  object: {
    type: "text",
    meaning: "the object that the request concerns, as named by its caller",
  },
  digest: {
    type: "text",
    meaning: "what repeats of a request have in common, as a hash",
  },
  forMs: { type: "number", meaning: "how long, in milliseconds" },
  unconfirmedMs: {
    type: "number",
    meaning:
      "time for which the store had not confirmed that no change was missing, in milliseconds",
  },
  slowPeer: {
    type: "text",
    meaning: "the VM whose rows this VM waits for",
  },
  callMs: {
    type: "number",
    meaning: "time from a call to its end, in milliseconds",
  },
  arrivingMs: {
    type: "number",
    meaning: "the part of a call during which its response arrived",
  },
  crashes: {
    type: "number",
    meaning: "crashes of targets under the request that this VM knows of",
  },
  silentVms: {
    type: "number",
    meaning:
      "number of other VMs that may be running and that this one does not hear of",
  },
  suspects: {
    type: "number",
    meaning: "number of digests of requests that may crash targets",
  },
  end: { type: "text", meaning: "how the request or attempt ended" },
  reason: { type: "text", meaning: "the reason, as text" },
  attempts: {
    type: "number",
    meaning: "number of attempts that were sent to a target",
  },
  durationMs: { type: "number", meaning: "total time, in milliseconds" },
  waitedMs: {
    type: "number",
    meaning: "time before the first attempt, in milliseconds",
  },
  newsMs: {
    type: "number",
    meaning:
      "age of this VM's list of targets, in milliseconds: time since the platform last confirmed it",
  },
  account: {
    type: "text",
    meaning:
      "the client account that sent the request, if the route requires one",
  },
  key: {
    type: "text",
    meaning: "first characters of the digest of the request's key",
  },
  accountsMs: {
    type: "number",
    meaning:
      "age of this VM's list of accounts and keys, in milliseconds: time since the start of the read of the store that gave it",
  },
  retryAfterMs: {
    type: "number",
    meaning:
      "time after which the caller may retry, as sent to it, in milliseconds",
  },
  heldMs: {
    type: "number",
    meaning:
      "time for which a part of the response was ready and its caller did not take it, in milliseconds",
  },
  residentBytes: {
    type: "number",
    meaning: "memory that the process takes, in bytes",
  },
  heldBytes: {
    type: "number",
    meaning: "the most bytes of the response that were held for its caller",
  },
  target: { type: "text", meaning: "id of the target" },
  bytes: {
    type: "number",
    meaning: "bytes of the response's body that had arrived",
  },
  targetMs: {
    type: "number",
    meaning: "duration of the last attempt, in milliseconds",
  },
  targetEnd: { type: "text", meaning: "how the last attempt ended" },
  via: {
    type: "text",
    meaning: "the VM that the request was forwarded to",
  },
  from: {
    type: "text",
    meaning: "the VM that forwarded the request to this one",
  },
  era: {
    type: "number",
    meaning:
      "the store's history: another number each time when the store is restored from a copy, usually one higher",
  },
  eraBefore: {
    type: "number",
    meaning: "the store's history that was used before",
  },
  claimed: {
    type: "number",
    meaning: "the store's history, as another VM named it",
  },
  origin: {
    type: "text",
    meaning:
      "how an error ended the process: uncaughtException, unhandledRejection or reported (by a part that failed)",
  },
  stack: { type: "text", meaning: "beginning of the stack of an error" },
  table: { type: "text", meaning: "table of the platform's store" },
  running: {
    type: "number",
    meaning: "requests running at the target when it responded",
  },
  waiting: {
    type: "number",
    meaning: "requests waiting at the target when it responded",
  },
  restMs: {
    type: "number",
    meaning:
      "back-off that the target asks of this VM: time without any request, in milliseconds",
  },
  perSecond: {
    type: "number",
    meaning: "requests a second that a target accepts from all VMs together",
  },
  source: {
    type: "text",
    meaning:
      "where the information comes from: answer (a response of the target) or peer (another VM)",
  },
  zone: { type: "text", meaning: "availability zone" },
  peer: {
    type: "text",
    meaning:
      "another VM or its instance; several instances, separated by spaces, if they changed together",
  },
  rows: { type: "number", meaning: "number of rows" },
  keys: { type: "text", meaning: "keys of rows, separated by spaces" },
  subject: {
    type: "text",
    meaning:
      "the watched set of rows in the platform's store: operator, targets or members",
  },
  task: { type: "text", meaning: "task: a supervised part of the process" },
  open: { type: "number", meaning: "requests without a final response" },
  lines: { type: "number", meaning: "number of log lines left out" },
  targets: { type: "number", meaning: "number of targets" },
  cause: {
    type: "text",
    meaning:
      "why a service without room for all refused the request: share (of its priority), account (far above its usual share), late, early-return",
  },
  placement: {
    type: "text",
    meaning:
      "how the last target was chosen, if the service has homes by load: home (the preferred home of the object), second-home (another of its homes), other (none of its homes) or unassigned (the object had no homes: its owner gave none in time)",
  },
  term: {
    type: "text",
    meaning: "the owner's term: random, new each time a VM becomes an owner",
  },
  vms: {
    type: "number",
    meaning: "number of VMs of the region that are up, this one included",
  },
  fleetVms: {
    type: "number",
    meaning:
      "number of VMs by which this one divides the limits of the fleet: those that may be running, this one included; 0 while it knows no list of VMs",
  },
  fleetVmsBefore: {
    type: "number",
    meaning: "the same number before; 0 after the start",
  },
  retries: {
    type: "number",
    meaning: "retries of this VM in the window of the retry budget",
  },
  requests: {
    type: "number",
    meaning: "callers' requests at this VM in the window of the retry budget",
  },
  runningMs: {
    type: "number",
    meaning: "time since the process started, in milliseconds",
  },
  objects: { type: "number", meaning: "number of objects that have homes" },
  homes: { type: "number", meaning: "number of homes of these objects" },
  secondHomes: {
    type: "number",
    meaning: "homes besides the first one of each object",
  },
  moved: {
    type: "number",
    meaning: "homes moved to another target since the line before",
  },
  peakLoad: {
    type: "number",
    meaning: "load of the busiest target as a multiple of the mean",
  },
  queries: {
    type: "number",
    meaning: "number of queries since the line before",
  },
} as const satisfies Partial<Record<keyof LogFields, FieldDescription>>;
