/**
 * Signals that reach the binary while it starts.
 *
 * @module
 */

import { execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const BINARY = fileURLToPath(
  new URL("../../../daemon/bin/poplarthreadd.js", import.meta.url),
);

test.each(["SIGTERM", "SIGINT"] as const)(
  "%s while the settings are read ends the process in order",
  async (signal) => {
    // Without a handler, the signal ends it as if it had crashed.
    const dir = mkdtempSync(join(tmpdir(), "poplarthread-early-"));
    const settings = join(dir, "settings.json");
    execFileSync("mkfifo", [settings]);
    const child = spawn(process.execPath, [BINARY, "--settings", settings], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    const stderr = text(child.stderr);
    const ended = once(child, "exit");
    // Resolves once the process has opened the pipe as well.
    const pipe = await open(settings, "w");
    child.kill(signal);
    await pipe.close();
    expect(await ended).toEqual([0, null]);
    expect(await stderr).toContain('"message":"stopped before the start"');
    rmSync(dir, { recursive: true });
  },
);
