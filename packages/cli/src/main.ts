/**
 * Entry point of the `poplarthread` binary.
 *
 * @module
 */

import process from "node:process";
import { run } from "./program.ts";

process.exitCode = await run({
  argv: process.argv.slice(2),
  env: process.env,
  terminal: {
    out: (line) => console.log(line),
    err: (line) => console.error(line),
  },
});
