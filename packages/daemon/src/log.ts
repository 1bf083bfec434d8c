/**
 * Logs as JSON lines on standard error.
 *
 * @module
 */

import process from "node:process";
import winston from "winston";
import type { RequestId } from "@poplarthread/ids";

/** What a line may carry. A closed list: nothing else can leak into the log. */
export interface LogFields {
  readonly request?: RequestId;
  readonly revision?: number;
  readonly task?: string;
  readonly target?: string;
  readonly peer?: string;
  readonly route?: string;
  readonly end?: string;
  readonly durationMs?: number;
  readonly reason?: string;
}

/** Writes lines; the event is a fixed word or two, everything else a field. */
export interface Log {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  /** Whether debug lines are written; saves their cost where they aren't. */
  readonly debugs: boolean;
}

/** The log of one daemon; each line names the VM and the instance. */
export function createLog(
  options: { level: string; vm: string; instance: string },
): Log {
  const { level, vm, instance } = options;
  const logger = winston.createLogger({
    level,
    defaultMeta: { vm, instance },
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [new winston.transports.Stream({ stream: process.stderr })],
  });
  return {
    error: (event, fields) => void logger.error(event, fields),
    warn: (event, fields) => void logger.warn(event, fields),
    info: (event, fields) => void logger.info(event, fields),
    debug: (event, fields) => void logger.debug(event, fields),
    debugs: logger.isDebugEnabled(),
  };
}
