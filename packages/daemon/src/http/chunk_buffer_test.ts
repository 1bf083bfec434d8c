import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { ChunkBuffer } from "./chunk_buffer.ts";

const READ_BYTES = 65_536;

/** Bytes that the memory behind chunks takes, each part of it once. */
function backingBytes(chunks: readonly Buffer[]): number {
  const memory = new Set(chunks.map(({ buffer }) => buffer));
  return [...memory].reduce((sum, { byteLength }) => sum + byteLength, 0);
}

test("chunks come out as they went in, however they are taken", () => {
  const bytes = fc.uint8Array({ maxLength: 10_000 });
  const step = fc.record({ bytes, takes: fc.boolean() });
  fc.assert(fc.property(fc.array(step), (steps) => {
    const buffer = new ChunkBuffer();
    const taken: Buffer[] = [];
    for (const { bytes, takes } of steps) {
      buffer.add(Buffer.from(bytes));
      if (takes) {
        taken.push(buffer.take(4_096));
      }
    }
    taken.push(...buffer.takeAll());
    expect(buffer.byteLength).toBe(0);
    expect(
      Buffer.concat(taken)
        .equals(Buffer.concat(steps.map(({ bytes }) => bytes))),
    ).toBe(true);
  }));
});

test.each([1, 100, 5_000])(
  "chunks of %i bytes, each of a read of its own, don't keep the reads",
  (size) => {
    const buffer = new ChunkBuffer();
    let bytes = 0;
    for (; bytes < 100_000; bytes += size) {
      buffer.add(Buffer.alloc(READ_BYTES).subarray(0, size));
    }
    const chunks = buffer.takeAll();
    expect(chunks.length).toBeLessThan(bytes / 4_096 + 20);
    expect(backingBytes(chunks)).toBeLessThan(2 * bytes);
  },
);

test("a chunk that fills its memory is not copied", () => {
  const buffer = new ChunkBuffer();
  const chunk = Buffer.alloc(500);
  buffer.add(chunk);
  expect(buffer.takeAll()).toEqual([chunk]);
});
