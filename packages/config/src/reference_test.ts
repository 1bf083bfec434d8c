import { expect, test } from "vitest";
import { presetFormat } from "./preset.ts";
import { renderReference } from "./reference.ts";
import { settingsFormat } from "./settings.ts";

// The pages are committed. When a schema changes, these fail until the pages
// are written anew with `npm run docs`.
test("the committed reference of the settings is current", async () => {
  const page = renderReference("Settings", settingsFormat.schema);
  await expect(page).toMatchFileSnapshot("../../../docs/reference/settings.md");
});

test("the committed reference of the presets is current", async () => {
  const page = renderReference("Presets", presetFormat.schema);
  await expect(page).toMatchFileSnapshot("../../../docs/reference/preset.md");
});
