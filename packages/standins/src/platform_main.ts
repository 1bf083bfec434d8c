/** Runs the platform stand-in: `platform_main.js HOST PORT`. @module */

import process from "node:process";
import { createPlatform } from "./platform.ts";

const [host, port] = process.argv.slice(2);
createPlatform().listen(Number(port), host, () => console.log("listening"));
