/**
 * What one VM knows of the targets, as the parts of steering share it.
 *
 * @module
 */

import type { KindTimes } from "./kind_times.ts";
import type { RoundTrips } from "./round_trips.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { TargetEntries } from "./target_entries.ts";
import type { TargetRates } from "./target_rates.ts";
import type { WarmObjects } from "./warm_objects.ts";

/** See the module comment. */
export interface TargetKnowledge {
  readonly entries: TargetEntries;
  readonly rates: TargetRates;
  readonly warmObjects: WarmObjects;
  readonly serviceTimes: ServiceTimes;
  readonly kindTimes: KindTimes;
  readonly roundTrips: RoundTrips;
}
