import { expect, test } from "vitest";
import { presetFormat } from "./preset.ts";
import { renderReference } from "./reference.ts";
import { settingsFormat } from "./settings.ts";

// The pages are committed. When a schema changes, these tests fail until the pages
// are regenerated with `npm run docs`.
test("the committed settings reference is up to date", async () => {
  const page = renderReference("Settings", settingsFormat.schema);
  await expect(page).toMatchFileSnapshot("../../../docs/reference/settings.md");
});

test("the committed preset reference is up to date", async () => {
  const page = renderReference("Presets", presetFormat.schema);
  await expect(page).toMatchFileSnapshot("../../../docs/reference/preset.md");
});
