/// <reference path="./undici_client_module.d.ts" />
/**
 * undici's client without the rest of the package. The main module also loads fetch,
 * cache and WebSocket code, which takes about 100 ms of processor time at each start;
 * the client alone takes about 27 ms.
 *
 * @module
 */

import type { Client as UndiciClient } from "undici";
import ClientOnly from "undici/lib/dispatcher/client.js";

/** undici's `Client`, which keeps one connection to one origin. */
export const Client = ClientOnly;
/** Instance type of the `Client` class above. */
export type Client = UndiciClient;
