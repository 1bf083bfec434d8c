/**
 * The table of client blocks: look-up by longest prefix, deltas, and snapshots
 * for VMs that start.
 *
 * @module
 */

export {
  type Block,
  type BlockColumns,
  BlockTable,
  NO_SITE,
  type Redirects,
} from "./block_table.ts";
export { applyDelta, type BlockDelta, BlocksError } from "./delta.ts";
export { BlockCodec } from "./codec.ts";
