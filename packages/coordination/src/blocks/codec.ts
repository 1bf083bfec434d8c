/**
 * Binary encoding of snapshots and deltas. Numbers are little-endian, columns are
 * stored one after the other, and a digest detects corruption.
 *
 * @module
 */

import xxhash, { type XXHashAPI } from "xxhash-wasm";
import { type Block, BlockTable, newColumns } from "./block_table.ts";
import { type BlockDelta, BlocksError } from "./delta.ts";

const SNAPSHOT_MAGIC = 0x31425450;
const DELTA_MAGIC = 0x31445450;
/** Magic number, two revisions, three counts, digest. */
const HEADER_BYTES = 32;
/** Start, site, length. */
const BLOCK_BYTES = 7;
const PREFIX_BYTES = 5;
const REDIRECT_BYTES = 4;

interface Header {
  readonly magic: number;
  readonly from: number;
  readonly revision: number;
  readonly blocks: number;
  readonly removals: number;
  readonly redirects: number;
}

/** Encodes and decodes tables and deltas. */
export class BlockCodec {
  readonly #hash: XXHashAPI;

  private constructor(hash: XXHashAPI) {
    this.#hash = hash;
  }

  /** Loads the hash function, which is compiled once. */
  static async load(): Promise<BlockCodec> {
    return new BlockCodec(await xxhash());
  }

  encodeSnapshot(table: BlockTable): Uint8Array<ArrayBuffer> {
    const redirects = [...table.redirects];
    const bytes = this.#allocate({
      magic: SNAPSHOT_MAGIC,
      from: 0,
      revision: table.revision,
      blocks: table.size,
      removals: 0,
      redirects: redirects.length,
    });
    const { starts, sites, lengths } = table.columns;
    let at = HEADER_BYTES;
    for (const column of [starts, sites, lengths]) {
      bytes.set(
        new Uint8Array(column.buffer, column.byteOffset, column.byteLength),
        at,
      );
      at += column.byteLength;
    }
    writeRedirects(bytes, at, redirects);
    return this.#seal(bytes);
  }

  /** Throws {@link BlocksError} if the bytes are not a complete snapshot. */
  decodeSnapshot(bytes: Uint8Array<ArrayBuffer>): BlockTable {
    const header = this.#open(bytes, SNAPSHOT_MAGIC);
    const columns = newColumns(header.blocks);
    let at = HEADER_BYTES;
    for (const column of [columns.starts, columns.sites, columns.lengths]) {
      const { byteLength } = column;
      new Uint8Array(column.buffer).set(bytes.subarray(at, at + byteLength));
      at += byteLength;
    }
    const redirects = readRedirects(bytes, at, header.redirects);
    return new BlockTable(columns, {
      revision: header.revision,
      redirects: new Map(redirects),
    });
  }

  encodeDelta(delta: BlockDelta): Uint8Array<ArrayBuffer> {
    const bytes = this.#allocate({
      magic: DELTA_MAGIC,
      from: delta.from,
      revision: delta.revision,
      blocks: delta.upserts.length,
      removals: delta.removals.length,
      redirects: delta.redirects.length,
    });
    const view = new DataView(bytes.buffer);
    let at = HEADER_BYTES;
    for (const { start, site, length } of delta.upserts) {
      view.setUint32(at, start, true);
      view.setUint16(at + 4, site, true);
      view.setUint8(at + 6, length);
      at += BLOCK_BYTES;
    }
    for (const { start, length } of delta.removals) {
      view.setUint32(at, start, true);
      view.setUint8(at + 4, length);
      at += PREFIX_BYTES;
    }
    const redirects = delta.redirects.map(({ site, to }) =>
      [site, to] as const
    );
    writeRedirects(bytes, at, redirects);
    return this.#seal(bytes);
  }

  /** Throws {@link BlocksError} if the bytes are not a complete delta. */
  decodeDelta(bytes: Uint8Array<ArrayBuffer>): BlockDelta {
    const header = this.#open(bytes, DELTA_MAGIC);
    const view = new DataView(bytes.buffer, bytes.byteOffset);
    let at = HEADER_BYTES;
    const upserts: Block[] = [];
    for (let n = 0; n < header.blocks; n++, at += BLOCK_BYTES) {
      const block = {
        start: view.getUint32(at, true),
        site: view.getUint16(at + 4, true),
        length: view.getUint8(at + 6),
      };
      upserts.push(block);
    }
    const removals: { start: number; length: number }[] = [];
    for (let n = 0; n < header.removals; n++, at += PREFIX_BYTES) {
      const start = view.getUint32(at, true);
      removals.push({ start, length: view.getUint8(at + 4) });
    }
    const redirects = readRedirects(bytes, at, header.redirects)
      .map(([site, to]) => ({ site, to }));
    const { from, revision } = header;
    return { from, revision, upserts, removals, redirects };
  }

  #allocate(header: Header): Uint8Array<ArrayBuffer> {
    const bytes = new Uint8Array(sizeOf(header));
    const view = new DataView(bytes.buffer);
    const { magic, from, revision, blocks, removals, redirects } = header;
    [magic, from, revision, blocks, removals, redirects]
      .forEach((value, at) => view.setUint32(4 * at, value, true));
    return bytes;
  }

  #seal(bytes: Uint8Array<ArrayBuffer>): Uint8Array<ArrayBuffer> {
    const digest = this.#digest(bytes);
    new DataView(bytes.buffer).setBigUint64(24, digest, true);
    return bytes;
  }

  #open(bytes: Uint8Array<ArrayBuffer>, magic: number): Header {
    if (bytes.length < HEADER_BYTES) {
      throw new BlocksError(
        "Cannot decode blocks: shorter than the header of 32 bytes",
      );
    }
    const view = new DataView(bytes.buffer, bytes.byteOffset);
    const header: Header = {
      magic: view.getUint32(0, true),
      from: view.getUint32(4, true),
      revision: view.getUint32(8, true),
      blocks: view.getUint32(12, true),
      removals: view.getUint32(16, true),
      redirects: view.getUint32(20, true),
    };
    if (header.magic !== magic) {
      throw new BlocksError("Cannot decode blocks: wrong magic number");
    }
    const isIntact = sizeOf(header) === bytes.length &&
      view.getBigUint64(24, true) === this.#digest(bytes);
    if (!isIntact) {
      throw new BlocksError(
        "Cannot decode blocks: the size or the digest does not match the header",
      );
    }
    return header;
  }

  /** Hashes the header and the content, but not the digest field itself. */
  #digest(bytes: Uint8Array): bigint {
    const head = this.#hash.h64Raw(bytes.subarray(0, 24));
    return this.#hash.h64Raw(bytes.subarray(HEADER_BYTES), head);
  }
}

function sizeOf(header: Header): number {
  return HEADER_BYTES + header.blocks * BLOCK_BYTES +
    header.removals * PREFIX_BYTES + header.redirects * REDIRECT_BYTES;
}

function writeRedirects(
  bytes: Uint8Array<ArrayBuffer>,
  start: number,
  redirects: readonly (readonly [number, number])[],
): void {
  const view = new DataView(bytes.buffer);
  redirects.forEach(([site, to], n) => {
    view.setUint16(start + n * REDIRECT_BYTES, site, true);
    view.setUint16(start + n * REDIRECT_BYTES + 2, to, true);
  });
}

function readRedirects(
  bytes: Uint8Array<ArrayBuffer>,
  start: number,
  count: number,
): readonly (readonly [number, number])[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset);
  return Array.from({ length: count }, (_, n) => {
    const at = start + n * REDIRECT_BYTES;
    return [view.getUint16(at, true), view.getUint16(at + 2, true)] as const;
  });
}
