import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { readFileSync } from "node:fs";
import { type Change, presetFormat, readDocument } from "@poplarthread/config";
import {
  MemoryTable,
  TableError,
  type Transaction,
} from "@poplarthread/coordination";
import { id, type OperationId, type PresetId } from "@poplarthread/ids";
import { ConfigurationAdmin } from "./configuration_admin.ts";

/** Loses the responses of the next `responsesToLose` transactions, after the write. */
class LossyTable extends MemoryTable {
  responsesToLose = 0;

  override async transact(transaction: Transaction) {
    const result = await super.transact(transaction);
    if (this.responsesToLose > 0) {
      this.responsesToLose -= 1;
      throw new TableError("Cannot call the table: no response", "unknown");
    }
    return result;
  }
}

function preset(name: string) {
  const path = new URL(
    `../../../presets/hlasovka/${name}.json`,
    import.meta.url,
  );
  return readDocument(readFileSync(path, "utf8"), presetFormat);
}

const table = new LossyTable();
const admin = new ConfigurationAdmin(table);
let operations = 0;

function accept(seenRevision: number, change: Change, operation?: string) {
  operations += 1;
  return admin.accept({
    operation: id<OperationId>(operation ?? `operation-${operations}`),
    seenRevision,
    who: "jana",
    why: "test",
    change,
  });
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test("presets are written, switched and listed, each step in the audit trail", async () => {
  const ordinary = preset("ordinary");
  const peak = preset("peak");
  await accept(0, { kind: "edit", preset: ordinary });
  await accept(1, { kind: "edit", preset: peak });
  expect(await accept(2, { kind: "switch", preset: peak.id })).toEqual({
    kind: "accepted",
    revision: 3,
  });
  await accept(3, { kind: "edit", preset: { ...peak, about: "edited" } });
  expect(
    (await admin.presets()).map((
      { id, version, inForce },
    ) => [id, version, inForce]),
  )
    .toEqual([[ordinary.id, 1, false], [peak.id, 2, true]]);
  const trail = await admin.audit({ limit: 3 });
  expect(trail.map(({ revision, change }) => ({ revision, ...change })))
    .toMatchInlineSnapshot(`
      [
        {
          "kind": "edit",
          "preset": "peak",
          "revision": 4,
          "version": 2,
        },
        {
          "kind": "switch",
          "preset": "peak",
          "revision": 3,
          "version": 1,
        },
        {
          "kind": "edit",
          "preset": "peak",
          "revision": 2,
          "version": 1,
        },
      ]
    `);
  expect(trail[0]!.after.preset.about).toBe("edited");
  expect(trail[0]!.before?.preset.about).not.toBe("edited");
  expect(await admin.audit({ limit: 3, before: 2 })).toHaveLength(1);
  expect(await admin.presetHistory(peak.id)).toHaveLength(2);
});

// Two operators change the same revision. The second one gets the name and change of
// the first, and none of its own change is written.
test("the second of two conflicting changes gets the first one in its response", async () => {
  const drain = {
    kind: "drain",
    subject: { kind: "zone", id: "kosice-1" },
  } as const;
  expect(await accept(4, drain)).toEqual({ kind: "accepted", revision: 5 });
  const lost = await accept(4, {
    kind: "switch",
    preset: id<PresetId>("ordinary"),
  });
  expect(lost).toMatchObject({
    kind: "conflict",
    revision: 5,
    won: { who: "jana", change: { kind: "drain" } },
  });
  expect((await admin.audit({ limit: 1 }))[0]!.revision).toBe(5);
});

// The table commits the write but its response is lost. A retry must return that the
// change was accepted, not a conflict.
test("a change whose response was lost is reported as accepted, also to a later retry", async () => {
  const undrain = {
    kind: "undrain",
    subject: { kind: "zone", id: "kosice-1" },
  } as const;
  table.responsesToLose = 1;
  const response = accept(5, undrain, "operation-lost");
  await vi.advanceTimersByTimeAsync(2_000);
  expect(await response).toEqual({ kind: "accepted", revision: 6 });
  expect(await accept(5, undrain, "operation-lost")).toEqual({
    kind: "accepted",
    revision: 6,
  });
  expect(
    await accept(
      6,
      { kind: "switch", preset: id<PresetId>("ordinary") },
      "operation-lost",
    ),
  )
    .toMatchObject({ kind: "refused" });
});

// The table is down when an operator sends a change. The response comes at once and
// says that nothing was written and when to retry.
test("an unreachable table is reported, with nothing written", async () => {
  vi.spyOn(table, "read").mockRejectedValue(new TableError("down", "unknown"));
  const response = await accept(6, {
    kind: "switch",
    preset: id<PresetId>("ordinary"),
  });
  vi.restoreAllMocks();
  expect(response).toMatchObject({ kind: "unavailable", retryAfterMs: 2_000 });
  expect((await admin.audit({ limit: 1 }))[0]!.revision).toBe(6);
});
