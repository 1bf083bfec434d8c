/// <reference path="./undici_client_module.d.ts" />
/**
 * undici's client alone. The package's main module also loads its fetch, cache
 * and WebSocket parts: 100 ms of processor time at each start against 27 ms for
 * the client (medians of whole processes on one machine).
 *
 * @module
 */

import type { Client as UndiciClient } from "undici";
import ClientOnly from "undici/lib/dispatcher/client.js";

/** undici's `Client`: one connection to one origin. */
export const Client = ClientOnly;
/** See the value of the same name. */
export type Client = UndiciClient;
