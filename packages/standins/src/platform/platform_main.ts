/** Runs the platform stand-in: `platform_main.js '{"host", "port"}'`. @module */

import { processOptions, serveAdmin } from "../admin.ts";
import { createPlatform } from "./platform.ts";

const { host, port } = processOptions<{ host: string; port: number }>();
const server = createPlatform();
await new Promise<void>((resolve) => server.listen(port, host, resolve));
// Faults are set through the platform's own listener; this one only prints the ready line.
await serveAdmin(() => undefined);
