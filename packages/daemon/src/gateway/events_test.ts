/**
 * The reference of the log events.
 *
 * @module
 */

import { expect, test } from "vitest";
import { renderEventReference } from "./event_reference.ts";

// The page is committed. After a change of an event or a field, this fails until the
// page is regenerated with `npm run docs`.
test("the committed reference of the events is up to date", async () => {
  await expect(renderEventReference()).toMatchFileSnapshot(
    "../../../../docs/reference/events.md",
  );
});
