/** Runs a target stand-in: `target_main.js HOST PORT SLOTS SERVICE_MS`. @module */

import process from "node:process";
import { createTarget } from "./target.ts";

const [host, port, slots, serviceMs] = process.argv.slice(2);
createTarget({ slots: Number(slots), serviceMs: Number(serviceMs) })
  .listen(Number(port), host, () => console.log("listening"));
