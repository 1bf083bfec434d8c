/**
 * The reference of the log's events, as a page.
 *
 * @module
 */

import { FIELDS } from "./event_fields.ts";
import { type EventDescription, EVENTS } from "./events.ts";

/** Renders the reference of all events as a Markdown page. */
export function renderEventReference(): string {
  const lines = [
    "# Events of the log",
    "",
    "One JSON object a line on standard output, with `timestamp`, `level`, `vm` and",
    "`instance` besides the fields below; `message` is the event.",
    "",
  ];
  const events = Object.entries<EventDescription>(EVENTS);
  for (const [event, { level, meaning, fields, optional = [] }] of events) {
    const names = [
      ...fields.map((name) => `\`${name}\``),
      ...optional.map((name) => `\`${name}\` (where it applies)`),
    ];
    lines.push(`## ${event}`, "", `Level ${level}. ${meaning}`, "");
    if (names.length > 0) {
      lines.push(`Fields: ${names.join(", ")}.`, "");
    }
  }
  lines.push(
    "## Fields",
    "",
    "| field | type | meaning |",
    "| --- | --- | --- |",
  );
  for (const [name, { type, meaning }] of Object.entries(FIELDS)) {
    lines.push(`| \`${name}\` | ${type} | ${meaning} |`);
  }
  return `${lines.join("\n")}\n`;
}
