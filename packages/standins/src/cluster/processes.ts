/**
 * Starts the processes of a demo or test, and makes sure that they end.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import process from "node:process";

/** Exit code or signal of a process. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: string | null;
}

/** Options of a process. */
export interface ProcessOptions {
  readonly name: string;
  /** Path of the script that Node.js runs. */
  readonly script: string;
  readonly args: readonly string[];
  /** Path of the file for standard error; by default, standard error of this process. */
  readonly log?: string;
  /** Options of Node.js. */
  readonly nodeOptions?: readonly string[];
  /** Longest wait for the first line; {@link READY_TIMEOUT_MS} by default. */
  readonly readyTimeoutMs?: number;
}

/** A process that was started. */
export interface StartedProcess {
  readonly name: string;
  readonly pid: number;
  /** First line on standard output; rejects if there is none within the timeout. */
  readonly firstLine: Promise<string>;
  readonly exited: Promise<ExitStatus>;
  /** Sends a signal; has no effect once the process has exited. */
  signal(signal: NodeJS.Signals): void;
}

/** Longest start of a process, on a busy machine. */
const READY_TIMEOUT_MS = 30_000;

/** Thrown when a process does not become ready. */
export class StartError extends Error {
  override readonly name = "StartError";
}

/** Starts processes, and kills them at the latest when this process exits. */
export class Processes {
  readonly #children = new Set<ChildProcess>();
  readonly #onExit = () => this.#killAll();

  constructor() {
    process.once("exit", this.#onExit);
  }

  start(options: ProcessOptions): StartedProcess {
    const log = options.log === undefined
      ? "inherit"
      : openSync(options.log, "a");
    // Stand-ins exit when their standard input ends, so it is a pipe that stays open.
    const args = [
      ...options.nodeOptions ?? [],
      options.script,
      ...options.args,
    ];
    const child = spawn(process.execPath, args, {
      stdio: ["pipe", "pipe", log],
    });
    if (typeof log === "number") {
      closeSync(log);
    }
    this.#children.add(child);
    const exited = new Promise<ExitStatus>((resolve) => {
      child.once("exit", (code, signal) => {
        this.#children.delete(child);
        resolve({ code, signal });
      });
    });
    const line = readFirstLine(options, { child, exited });
    // Prevents an unhandled rejection if nobody awaits the line.
    line.catch(() => undefined);
    return {
      name: options.name,
      pid: child.pid!,
      firstLine: line,
      exited,
      signal: (signal) => child.kill(signal),
    };
  }

  /** Kills all processes that still run, also stopped ones, and waits for their exit. */
  async stop(): Promise<void> {
    const exits = [...this.#children].map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    this.#killAll();
    await Promise.all(exits);
    process.off("exit", this.#onExit);
  }

  #killAll(): void {
    this.#children.forEach((child) => child.kill("SIGKILL"));
  }
}

async function readFirstLine(
  { name, readyTimeoutMs = READY_TIMEOUT_MS }: ProcessOptions,
  { child, exited }: { child: ChildProcess; exited: Promise<ExitStatus> },
): Promise<string> {
  let text = "";
  let timer: NodeJS.Timeout | undefined;
  const line = new Promise<string>((resolve) => {
    child.stdout!.on("data", (chunk) => {
      text += String(chunk);
      const end = text.indexOf("\n");
      if (end >= 0) {
        resolve(text.slice(0, end));
        text = "";
      }
    });
  });
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      reject(
        new StartError(`Cannot start ${name}: not ready before the time-out`),
      );
    }, readyTimeoutMs);
  });
  const failed = exited.then(({ code, signal }) => {
    throw new StartError(`Cannot start ${name}: exited with ${code ?? signal}`);
  });
  try {
    return await Promise.race([line, timeout, failed]);
  } finally {
    clearTimeout(timer);
  }
}
