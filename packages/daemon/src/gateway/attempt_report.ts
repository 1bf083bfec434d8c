/**
 * Tells everybody concerned how an attempt ended: the log, the connections, the
 * steering, and the watch over requests that crash targets.
 *
 * @module
 */

import type { Steering, Warmth } from "@poplarthread/placement";
import type { TargetId } from "@poplarthread/ids";
import { NotSentError } from "../errors.ts";
import type { ConnectionSource } from "./connections.ts";
import type { CrashSuspects } from "./crash_suspects.ts";
import type { EventLog } from "./events.ts";
import type { LimitWord } from "./limit_news.ts";
import type { TargetAnswer } from "./ports.ts";
import type { TargetDirectory } from "./target_directory.ts";
import type { TargetAttempt, TargetAttemptEnd } from "./target_attempt.ts";

/** Who is told. */
export interface AttemptReportServices {
  readonly steering: Steering;
  readonly targets: TargetDirectory;
  readonly connections: ConnectionSource;
  readonly suspects: CrashSuspects;
  readonly log: EventLog;
  /** Told of what a target says of its limit with an answer. */
  limitNamed(word: LimitWord): void;
}

/** The end of an attempt, and whose it was. */
export interface AttemptReport {
  readonly end: TargetAttemptEnd;
  readonly now: number;
  /** The caller's id of the request. */
  readonly request: string;
  /** Hash of the object that the request concerns. */
  readonly object: number | undefined;
  /** Name of its route. */
  readonly requestKind: string;
  /** Whether the target was taken to keep the object. */
  readonly warmth: Warmth;
  /** What repeats of the request have in common with it. */
  readonly digest: string | undefined;
}

/** See the module's comment. */
export function reportAttempt(
  services: AttemptReportServices,
  attempt: TargetAttempt,
  report: AttemptReport,
): void {
  logFailure(services.log, attempt, report);
  tellConnections(services.connections, attempt, report.end);
  tellSteering(services, attempt, report);
}

function logFailure(
  log: EventLog,
  attempt: TargetAttempt,
  { end, now, request }: AttemptReport,
): void {
  if (end.kind === "answered" || end.kind === "abandoned") {
    return;
  }
  const load = end.kind === "not-run" ? end.answer.load : undefined;
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

function tellConnections(
  connections: ConnectionSource,
  { connection }: TargetAttempt,
  end: TargetAttemptEnd,
): void {
  if (end.kind === "answered" || end.kind === "not-run") {
    connections.giveBack(connection);
  } else {
    connections.drop(connection);
  }
}

function tellSteering(
  services: AttemptReportServices,
  { target, writtenAt }: TargetAttempt,
  { end, now, digest, object, requestKind, warmth }: AttemptReport,
): void {
  const { steering, suspects } = services;
  const times = { now, writtenAt };
  switch (end.kind) {
    case "answered":
    case "not-run": {
      const { load, status, isOtherTarget } = end.answer;
      const failed = end.kind === "not-run" || status >= 500;
      steering.ended(target, {
        kind: "answered",
        load,
        failed,
        object,
        requestKind,
        warmth,
      }, times);
      if (isOtherTarget) {
        steering.unreachable(target, now);
      } else {
        tellNotices(services, target, { answer: end.answer, now });
      }
      return;
    }
    case "broke":
      steering.ended(target, { kind: "broke" }, times);
      suspects.broke(digest, target, now);
      return;
    case "unreachable":
      steering.ended(target, { kind: "abandoned" }, times);
      if (!(end.err instanceof NotSentError)) {
        steering.unreachable(target, now);
        suspects.crashed(target, now);
      }
      return;
    case "abandoned":
      steering.ended(target, { kind: "abandoned" }, times);
      return;
  }
}

/** Takes in what an answer says of its target besides the load. */
function tellNotices(
  services: AttemptReportServices,
  target: TargetId,
  { answer, now }: { readonly answer: TargetAnswer; readonly now: number },
): void {
  const { limitPerSecond: perSecond, isLeaving, restMs } = answer;
  if (perSecond !== undefined || saysNoLimit(answer)) {
    services.limitNamed({ target, perSecond, at: now });
  }
  if (isLeaving) {
    services.targets.saysLeaving(target);
  }
  if (restMs > 0) {
    services.steering.rests(target, now + restMs);
    services.log.write("target asks for rest", {
      target,
      restMs: Math.round(restMs),
    });
  }
}

/** Only a success ends a limit: what a target in need sends when it fails may lack the line. */
function saysNoLimit(
  { status, isStamped, limitPerSecond }: TargetAnswer,
): boolean {
  return isStamped && status < 300 && limitPerSecond === undefined;
}
