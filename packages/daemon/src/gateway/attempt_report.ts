/**
 * Reports the end of an attempt to the log, the connection pool, the steering and
 * the tracker of requests that crash targets.
 *
 * @module
 */

import type {
  Fingerprint,
  TargetRun,
} from "@poplarthread/coordination/held_back";
import type { Steering, Warmth } from "@poplarthread/placement";
import type { TargetId } from "@poplarthread/ids";
import {
  InvalidResponseError,
  isRefusedConnection,
  NotSentError,
} from "../errors.ts";
import type { ConnectionSource } from "./connections.ts";
import type { CrashSuspects } from "./crash_suspects.ts";
import type { EventLog } from "./events.ts";
import type { AttemptSummary } from "./exchange_types.ts";
import type { LimitUpdate } from "./limit_updates.ts";
import type { TargetResponse } from "./ports.ts";
import type { TargetDirectory } from "./target_directory.ts";
import type { TargetAttempt, TargetAttemptEnd } from "./target_attempt.ts";

/** Receivers of the report. */
export interface AttemptReportServices {
  readonly steering: Steering;
  readonly targets: TargetDirectory;
  readonly connections: ConnectionSource;
  readonly suspects: CrashSuspects;
  /** Checks whether the present run of a target still exists, and reports that to the suspects. */
  checkRun(target: TargetId): void;
  readonly log: EventLog;
  /** Called with the request limit that a target reported in a response, or lifted. */
  limitReported(limit: LimitUpdate): void;
}

/** Which request an attempt belongs to. */
export interface WorkReport {
  readonly now: number;
  /** The caller's request id. */
  readonly request: string;
  /** Hash of the object that the request concerns. */
  readonly object: number | undefined;
  /** Name of the route. */
  readonly requestKind: string;
  /** Whether the target was expected to hold the object in its cache. */
  readonly warmth: Warmth;
  /** What repeats of the request have in common; none if it is not known yet. */
  readonly fingerprints: readonly Fingerprint[];
  /** The run of the target; undefined if the target was not known. */
  readonly run: TargetRun | undefined;
}

/** How an attempt ended, and which request it belongs to. */
export interface AttemptReport extends WorkReport {
  readonly end: TargetAttemptEnd;
}

/**
 * Reports that a target has done its work though its response is not complete yet: the
 * target is paused because the caller reads slowly. How long that lasts, and how it ends,
 * says nothing about the target.
 */
export function reportWorkDone(
  services: AttemptReportServices,
  attempt: TargetAttempt,
  report: WorkReport,
): void {
  const { response, isWorkReported } = attempt;
  if (response !== undefined && !isWorkReported) {
    attempt.isWorkReported = true;
    const end = { kind: "answered", response, body: [] } as const;
    reportWork(services, attempt, { ...report, end });
  }
}

/** Reports the end of an attempt to all receivers. */
export function reportAttempt(
  services: AttemptReportServices,
  attempt: TargetAttempt,
  report: AttemptReport,
): void {
  logFailure(services.log, attempt, report);
  releaseConnection(services.connections, attempt, report.end);
  if (!attempt.isWorkReported) {
    reportWork(services, attempt, report);
  }
}

/** Reports what an attempt says about its target and its request. */
function reportWork(
  services: AttemptReportServices,
  attempt: TargetAttempt,
  report: AttemptReport,
): void {
  reportToSuspects(services, attempt, report);
  reportToSteering(services, attempt, report);
}

/** The details of an attempt for the request log. */
export function summaryOf(
  { target, startedAt }: TargetAttempt,
  end: TargetAttemptEnd,
  now: number,
): AttemptSummary {
  return {
    target,
    durationMs: now - startedAt,
    end: end.kind,
    load: "response" in end ? end.response.load : undefined,
  };
}

function logFailure(
  log: EventLog,
  attempt: TargetAttempt,
  { end, now, request }: AttemptReport,
): void {
  if (end.kind === "answered" || end.kind === "abandoned") {
    return;
  }
  const load = end.kind === "not-run" ? end.response.load : undefined;
  log.write("attempt failed", {
    request,
    target: attempt.target,
    end: end.kind,
    durationMs: Math.round(now - attempt.startedAt),
    ...("err" in end ? { reason: end.err.message } : {}),
    ...(load === undefined
      ? {}
      : { running: load.running, waiting: load.waiting }),
  });
}

function releaseConnection(
  connections: ConnectionSource,
  { connection }: TargetAttempt,
  end: TargetAttemptEnd,
): void {
  if (end.kind === "answered" || end.kind === "not-run") {
    connections.release(connection);
  } else {
    connections.drop(connection);
  }
}

function reportToSteering(
  services: AttemptReportServices,
  { target, writtenAt }: TargetAttempt,
  { end, now, object, requestKind, warmth }: AttemptReport,
): void {
  const { steering } = services;
  const times = { now, writtenAt };
  switch (end.kind) {
    case "answered":
    case "not-run": {
      const { load, status, isOtherTarget } = end.response;
      const failed = end.kind === "not-run" || status >= 500;
      steering.ended(target, {
        kind: "answered",
        load,
        failed,
        isRefusal: end.kind === "not-run" && isRoomRefusal(end.response),
        object,
        requestKind,
        warmth,
      }, times);
      if (isOtherTarget) {
        steering.markUnreachable(target, now);
      } else {
        handleNotices(services, target, { response: end.response, now });
      }
      return;
    }
    case "broke":
      steering.ended(target, { kind: "broke" }, times);
      return;
    case "unreachable":
      steering.ended(target, { kind: "abandoned" }, times);
      if (!(end.err instanceof NotSentError)) {
        steering.markUnreachable(target, now);
      }
      return;
    case "abandoned":
    case "unsendable":
      steering.ended(target, { kind: "abandoned" }, times);
      return;
  }
}

/** Tells the tracker of requests that crash targets what an attempt says about the run of its target. */
function reportToSuspects(
  { suspects, targets, checkRun }: AttemptReportServices,
  attempt: TargetAttempt,
  { end, now, fingerprints, run }: AttemptReport,
): void {
  const { target, writtenAt, response } = attempt;
  if (run === undefined) {
    return;
  }
  switch (end.kind) {
    case "answered":
    case "not-run":
      if (end.response.isOtherTarget) {
        suspects.runEnded(run, "gone", now);
        return;
      }
      suspects.runResponded(run, writtenAt ?? now);
      if (end.kind === "answered" && end.response.status < 500) {
        suspects.attemptSucceeded(fingerprints, now);
      }
      return;
    case "broke":
      suspects.attemptUnanswered(fingerprints, run, now);
      if (
        response === undefined && !(end.err instanceof InvalidResponseError)
      ) {
        checkRun(target);
      }
      return;
    case "unreachable":
      if (isRefusedConnection(end.err) && !targets.isLeaving(target)) {
        suspects.runRefused(run, now);
      }
      return;
    case "unsendable":
      return;
    case "abandoned":
      if (writtenAt !== undefined && response === undefined) {
        suspects.attemptUnanswered(fingerprints, run, now);
      }
      return;
  }
}

/** Whether a target that didn't run a request lacked room; another one may be meant, or it may be leaving. */
export function isRoomRefusal(
  { isOtherTarget, isLeaving }: TargetResponse,
): boolean {
  return !isOtherTarget && !isLeaving;
}

/** Handles what a response reports about its target besides load: limit, leaving and back-off. */
function handleNotices(
  services: AttemptReportServices,
  target: TargetId,
  { response, now }: {
    readonly response: TargetResponse;
    readonly now: number;
  },
): void {
  const { limitPerSecond: perSecond, isLeaving, backOffMs } = response;
  if (perSecond !== undefined || liftsLimit(response)) {
    services.limitReported({ target, perSecond, at: now });
  }
  if (isLeaving) {
    services.targets.markLeaving(target);
  }
  if (backOffMs > 0) {
    services.steering.backOff(target, now + backOffMs);
    services.log.write("target asks for rest", {
      target,
      restMs: Math.round(backOffMs),
    });
  }
}

/** Whether the response lifts the limit. Only a success does: an overloaded target may omit the header from its error responses. */
function liftsLimit(
  { status, isStamped, limitPerSecond }: TargetResponse,
): boolean {
  return isStamped && status < 300 && limitPerSecond === undefined;
}
