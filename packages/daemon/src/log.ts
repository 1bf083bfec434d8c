/**
 * The log: JSON lines on standard error.
 *
 * @module
 */

import process from "node:process";
import type { Writable } from "node:stream";
import winston from "winston";
import { BoundedOutput } from "./bounded_output.ts";

/** The fields of a log line. The list is closed, so that nothing else can leak into the log. */
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
  /** How an error reached the end of the process, and where it was raised. */
  readonly origin?: string;
  readonly stack?: string;
  /** The object that a request concerns, as its caller names it. */
  readonly object?: string;
  /** Number of lines that were not written. */
  readonly lines?: number;
  readonly targets?: number;
  /** Number of VMs that share the limits of the fleet, now and before. */
  readonly fleetVms?: number;
  readonly fleetVmsBefore?: number;
  /** Retries and requests in the window of a retry budget. */
  readonly retries?: number;
  readonly requests?: number;
  /** Time since the process started, in milliseconds. */
  readonly runningMs?: number;
  /** Back-off that a target asked of this VM. */
  readonly restMs?: number;
  /** What repeats of a request have in common, as a hash. */
  readonly digest?: string;
  readonly forMs?: number;
  readonly unconfirmedMs?: number;
  readonly callMs?: number;
  readonly slowPeer?: string;
  readonly arrivingMs?: number;
  readonly crashes?: number;
  readonly silentVms?: number;
  readonly suspects?: number;
  /** Limit of a target on the requests per second of all VMs together. */
  readonly perSecond?: number;
  /** Where an update came from: a response of the target, or a peer. */
  readonly source?: string;
  /** Time before the first attempt. */
  readonly waitedMs?: number;
  /** Time since the platform last confirmed the VM's list of targets. */
  readonly newsMs?: number;
  /** Duration of the last attempt, and how it ended. */
  readonly targetMs?: number;
  readonly targetEnd?: string;
  /** The VM that a request was forwarded to, and the one that forwarded it. */
  readonly via?: string;
  readonly from?: string;
  /** Version of the configuration that was not put in force. */
  readonly offered?: number;
  /** Version of the configuration that was in force before. */
  readonly previous?: number;
  /** Time for which an order may have waited to be noticed. */
  readonly lateMs?: number;
  /** Time since the platform last confirmed what operators wrote. */
  readonly operatorMs?: number;
  /** History, newest row and table of the platform's store. */
  readonly era?: number;
  readonly eraBefore?: number;
  readonly claimed?: number;
  readonly storeVersion?: number;
  readonly table?: string;
  /** Number of rows. */
  readonly rows?: number;
  /** Keys of rows, separated by spaces. */
  readonly keys?: string;
  /** The client account that sent a request. */
  readonly account?: string;
  /** First characters of the digest of an account key. */
  readonly key?: string;
  /** Age of the VM's data on accounts and keys, since the read of the store began. */
  readonly accountsMs?: number;
  /** Delay before a retry that the response to the caller asked for. */
  readonly retryAfterMs?: number;
  /** Time for which a caller did not take its response, and the most bytes held meanwhile. */
  readonly heldMs?: number;
  readonly heldBytes?: number;
  /** Memory that the process takes. */
  readonly residentBytes?: number;
  /** Bytes of a response that had arrived. */
  readonly bytes?: number;
  /** Requests that the target was running and had queued when it responded. */
  readonly running?: number;
  readonly waiting?: number;
  /** Number of attempts that were written to a target. */
  readonly attempts?: number;
  /** Number of requests without their final response. */
  readonly open?: number;
  /** How the last target was chosen with regard to the homes of the request's object. */
  readonly cause?: string;
  readonly placement?: string;
  /** An owner of homes: its term, the VMs of its region, and what it has assigned. */
  readonly term?: string;
  readonly vms?: number;
  readonly objects?: number;
  readonly homes?: number;
  readonly secondHomes?: number;
  readonly moved?: number;
  readonly peakLoad?: number;
  /** Number of queries for homes. */
  readonly queries?: number;
}

/** Writes log lines. The event is a fixed phrase; everything that varies is a field. */
export interface Log {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  /** Whether debug lines are written; callers can skip the work for them if not. */
  readonly isDebugEnabled: boolean;
  /** Number of lines dropped because their reader did not keep up. */
  readonly droppedLines: number;
  /** From now on each line is written before its writer goes on: the process is about to end. */
  beginEnd(): void;
}

/** Creates the log of one daemon; each line names the VM and the instance. */
export function createLog(
  options: {
    level: string;
    vm: string;
    instance: string;
    /** Receives the lines; standard error if left out. */
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
    beginEnd: () => output.beginEnd(),
    isDebugEnabled: logger.isDebugEnabled(),
    get droppedLines() {
      return output.droppedLines;
    },
  };
}
