/**
 * Processes that a demo or a test starts, and their certain end.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import process from "node:process";

/** How a process ended. */
export interface Exit {
  readonly code: number | null;
  readonly signal: string | null;
}

/** What to start. */
export interface ProcessOptions {
  readonly name: string;
  /** File of the script that Node.js runs. */
  readonly script: string;
  readonly args: readonly string[];
  /** File that takes standard error; without it, it goes to this process's own. */
  readonly log?: string;
  /** Options of Node.js itself. */
  readonly nodeOptions?: readonly string[];
  /** Longest wait for the first line; {@link READY_TIMEOUT_MS} without it. */
  readonly readyTimeoutMs?: number;
}

/** A process that was started. */
export interface Started {
  readonly name: string;
  readonly pid: number;
  /** Settles with its first line on standard output; rejects where none comes in time. */
  readonly firstLine: Promise<string>;
  readonly exited: Promise<Exit>;
  /** Sends a signal; does nothing to a process that has ended. */
  signal(signal: NodeJS.Signals): void;
}

/** Longest start of a process on a busy machine. */
const READY_TIMEOUT_MS = 30_000;

/** A process did not get ready. */
export class StartError extends Error {
  override readonly name = "StartError";
}

/** Starts processes and ends them all, whatever happens to this one. */
export class Processes {
  readonly #children = new Set<ChildProcess>();
  readonly #onExit = () => this.#killAll();

  constructor() {
    process.once("exit", this.#onExit);
  }

  /** Starts a process. */
  start(options: ProcessOptions): Started {
    const log = options.log === undefined
      ? "inherit"
      : openSync(options.log, "a");
    // Stand-ins end when their standard input does, so the pipe stays open.
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
    const exited = new Promise<Exit>((resolve) => {
      child.once("exit", (code, signal) => {
        this.#children.delete(child);
        resolve({ code, signal });
      });
    });
    const line = firstLine(options, { child, exited });
    // Whoever wants the line waits for it; nobody else should hear of its failure.
    line.catch(() => undefined);
    return {
      name: options.name,
      pid: child.pid!,
      firstLine: line,
      exited,
      signal: (signal) => child.kill(signal),
    };
  }

  /** Ends every process that is left, also frozen ones. */
  async stop(): Promise<void> {
    const ends = [...this.#children].map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    this.#killAll();
    await Promise.all(ends);
    process.off("exit", this.#onExit);
  }

  #killAll(): void {
    this.#children.forEach((child) => child.kill("SIGKILL"));
  }
}

async function firstLine(
  { name, readyTimeoutMs = READY_TIMEOUT_MS }: ProcessOptions,
  { child, exited }: { child: ChildProcess; exited: Promise<Exit> },
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
      reject(new StartError(`Cannot start ${name}: not ready in time`));
    }, readyTimeoutMs);
  });
  const failed = exited.then(({ code, signal }) => {
    throw new StartError(`Cannot start ${name}: ended with ${code ?? signal}`);
  });
  try {
    return await Promise.race([line, timeout, failed]);
  } finally {
    clearTimeout(timer);
  }
}
