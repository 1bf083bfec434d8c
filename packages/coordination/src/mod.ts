/**
 * Coordination components for services that share the platform's table. They do
 * not depend on the daemon; each is a pure core with a small task around it.
 *
 * @module
 */

export * from "./table.ts";
export { MemoryTable } from "./memory_table.ts";

export * from "./configuration/mod.ts";
export * from "./lease/mod.ts";
export * from "./held_back/mod.ts";
export * from "./claims/mod.ts";
export * from "./membership/mod.ts";
export * from "./escrow/mod.ts";
export * from "./dissemination/mod.ts";
export * from "./plan_term/mod.ts";
export * from "./blocks/mod.ts";
export * from "./freshness/mod.ts";
