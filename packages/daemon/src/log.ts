/**
 * Logs as JSON lines on standard error.
 *
 * @module
 */

import process from "node:process";
import type { Writable } from "node:stream";
import winston from "winston";
import { BoundedOutput } from "./bounded_output.ts";

/** What a line may carry. A closed list: nothing else can leak into the log. */
export interface LogFields {
  readonly request?: string;
  readonly revision?: number;
  readonly task?: string;
  readonly target?: string;
  readonly peer?: string;
  readonly route?: string;
  readonly end?: string;
  readonly durationMs?: number;
  readonly reason?: string;
  readonly instance?: string;
  readonly zone?: string;
  readonly subject?: string;
  readonly service?: string;
  /** What a request concerns, as its caller names it. */
  readonly object?: string;
  /** Lines that were not written. */
  readonly lines?: number;
  readonly targets?: number;
  /** For how long a target wants nothing from this VM, in milliseconds. */
  readonly restMs?: number;
  /** Requests a second that a target takes from all VMs together. */
  readonly perSecond?: number;
  /** How a fact was learned. */
  readonly source?: string;
  /** Time before the first attempt, in milliseconds. */
  readonly waitedMs?: number;
  /** Age of what the VM knew of the targets, in milliseconds. */
  readonly newsMs?: number;
  /** Time of the last attempt, and how it ended. */
  readonly targetMs?: number;
  readonly targetEnd?: string;
  /** The client account that sent a request. */
  readonly account?: string;
  /** First characters of the digest of a key. */
  readonly key?: string;
  /** Age of what the VM knew of accounts, in milliseconds. */
  readonly accountsMs?: number;
  /** When the caller was told to come back, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Requests that the target ran and queued when it answered. */
  readonly running?: number;
  readonly waiting?: number;
  /** Attempts that were written to a target. */
  readonly attempts?: number;
  /** Requests without their final answer. */
  readonly open?: number;
}

/** Writes lines; the event is a fixed word or two, everything else a field. */
export interface Log {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  /** Whether debug lines are written; saves their cost where they aren't. */
  readonly debugs: boolean;
  /** Lines that were dropped because their reader did not keep up. */
  readonly dropped: number;
}

/** The log of one daemon; each line names the VM and the instance. */
export function createLog(
  options: {
    level: string;
    vm: string;
    instance: string;
    /** Where lines go; standard error if left out. */
    stream?: Writable;
  },
): Log {
  const { level, vm, instance, stream = process.stderr } = options;
  const output = stream instanceof BoundedOutput
    ? stream
    : new BoundedOutput(stream);
  const logger = winston.createLogger({
    level,
    defaultMeta: { vm, instance },
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [new winston.transports.Stream({ stream: output })],
  });
  return {
    error: (event, fields) => void logger.error(event, fields),
    warn: (event, fields) => void logger.warn(event, fields),
    info: (event, fields) => void logger.info(event, fields),
    debug: (event, fields) => void logger.debug(event, fields),
    debugs: logger.isDebugEnabled(),
    get dropped() {
      return output.dropped;
    },
  };
}
