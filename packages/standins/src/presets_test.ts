import { expect, test } from "vitest";
import {
  DEPLOYMENT_NAMES,
  PRESET_NAMES,
  presetPath,
  readShippedPreset,
} from "./presets.ts";

const shipped = DEPLOYMENT_NAMES.flatMap((deployment) =>
  PRESET_NAMES.map((name) => ({ deployment, name }))
);

// Guards against shipping an invalid preset: an operator who switches to it during
// peak load would be refused, and an unsuitable preset would stay in force.
test.each(shipped)(
  "the shipped preset $deployment/$name is valid",
  ({ deployment, name }) => {
    expect(presetPath(deployment, name)).toContain("/presets/");
    expect(readShippedPreset(deployment, name).id).toBe(name);
  },
);

test("objections, bookings and purchases rank before comments and playlists, and those before pages", () => {
  const ranks = DEPLOYMENT_NAMES.map((deployment) =>
    readShippedPreset(deployment, "ordinary").classes
      .map(({ id, rank }) => `${rank} ${id}`)
  );
  expect(ranks).toEqual([
    ["0 objections", "1 comments", "2 pages"],
    ["0 bookings", "0 purchases", "1 playlists", "2 pages"],
  ]);
});
