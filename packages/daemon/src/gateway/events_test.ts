/**
 * The reference of the log.
 *
 * @module
 */

import { expect, test } from "vitest";
import { renderEventReference } from "./events.ts";

// The page is committed. When an event or a field changes, this fails until the
// page is written anew with `npm run docs`.
test("the committed reference of the events is current", async () => {
  await expect(renderEventReference()).toMatchFileSnapshot(
    "../../../../docs/reference/events.md",
  );
});
