/**
 * The binary `poplarthreadd`.
 *
 * @module
 */

import process from "node:process";
import { EarlySignals } from "./early_signals.ts";

const signals = new EarlySignals(process, ["SIGTERM", "SIGINT"]);

// Everything else is loaded once signals no longer end the process.
const { runCommand } = await import("./command.ts");
await runCommand(signals);
