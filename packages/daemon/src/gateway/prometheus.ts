/// <reference path="./prometheus_modules.d.ts" />
/**
 * The parts of prom-client that a gateway uses. The main module also loads the push
 * client and the collection from worker processes, with TLS, compression and clustering,
 * at each start.
 *
 * @module
 */

import Counter from "prom-client/lib/counter.js";
import Gauge from "prom-client/lib/gauge.js";
import Histogram from "prom-client/lib/histogram.js";
import Registry from "prom-client/lib/registry.js";

export { Counter, Gauge, Histogram, Registry };
