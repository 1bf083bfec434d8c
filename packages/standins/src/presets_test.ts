import { expect, test } from "vitest";
import { DEPLOYMENTS, presetFile, PRESETS, shippedPreset } from "./presets.ts";

const shipped = DEPLOYMENTS.flatMap((deployment) =>
  PRESETS.map((name) => ({ deployment, name }))
);

// An operator switches to a shipped preset in the middle of a peak. Were it
// refused then, the deployment would stay on the preset that does not fit.
test.each(shipped)(
  "the check accepts $deployment/$name as it is shipped",
  ({ deployment, name }) => {
    expect(presetFile(deployment, name)).toContain("/presets/");
    expect(shippedPreset(deployment, name).id).toBe(name);
  },
);

test("orders come before playlists and comments, and those before pages", () => {
  const ranks = DEPLOYMENTS.map((deployment) =>
    shippedPreset(deployment, "ordinary").classes
      .map(({ id, rank }) => `${rank} ${id}`)
  );
  expect(ranks).toEqual([
    ["0 objections", "1 comments", "2 pages"],
    ["0 bookings", "0 purchases", "1 playlists", "2 pages"],
  ]);
});
