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

/** Loses the answers of as many transactions as it is told, after the write. */
class LossyTable extends MemoryTable {
  answersToLose = 0;

  override async transact(transaction: Transaction) {
    const result = await super.transact(transaction);
    if (this.answersToLose > 0) {
      this.answersToLose -= 1;
      throw new TableError("Cannot call the table: no answer", "unknown");
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

function ask(seenRevision: number, change: Change, operation?: string) {
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
  await ask(0, { kind: "edit", preset: ordinary });
  await ask(1, { kind: "edit", preset: peak });
  expect(await ask(2, { kind: "switch", preset: peak.id })).toEqual({
    kind: "accepted",
    revision: 3,
  });
  await ask(3, { kind: "edit", preset: { ...peak, about: "edited" } });
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

// Two operators look at the same revision and both act. The one who comes
// second learns who won and with what, and nothing of theirs is written.
test("the loser of a race is told what won", async () => {
  const drain = {
    kind: "drain",
    subject: { kind: "zone", id: "kosice-1" },
  } as const;
  expect(await ask(4, drain)).toEqual({ kind: "accepted", revision: 5 });
  const lost = await ask(4, {
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

// The table takes the write but its answer is lost. An operator who asks again
// must learn that the change was accepted, not that somebody else was faster.
test("a change whose answer was lost is found accepted, also by a later retry", async () => {
  const undrain = {
    kind: "undrain",
    subject: { kind: "zone", id: "kosice-1" },
  } as const;
  table.answersToLose = 1;
  const answer = ask(5, undrain, "operation-lost");
  await vi.advanceTimersByTimeAsync(2_000);
  expect(await answer).toEqual({ kind: "accepted", revision: 6 });
  expect(await ask(5, undrain, "operation-lost")).toEqual({
    kind: "accepted",
    revision: 6,
  });
  expect(
    await ask(
      6,
      { kind: "switch", preset: id<PresetId>("ordinary") },
      "operation-lost",
    ),
  )
    .toMatchObject({ kind: "refused" });
});

// The table is down while an operator acts. They hear at once that nothing was
// written and when to come back.
test("a table out of reach is said, with nothing written", async () => {
  vi.spyOn(table, "read").mockRejectedValue(new TableError("down", "unknown"));
  const answer = await ask(6, {
    kind: "switch",
    preset: id<PresetId>("ordinary"),
  });
  vi.restoreAllMocks();
  expect(answer).toMatchObject({ kind: "unavailable", retryAfterMs: 2_000 });
  expect((await admin.audit({ limit: 1 }))[0]!.revision).toBe(6);
});
