/**
 * `poplarthread explain-request`.
 *
 * @module
 */

import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { type Context, requiredArg } from "../context.ts";
import { CommandError, ExitCode } from "../exit_code.ts";
import type { Output } from "../output.ts";
import {
  byTime,
  type LogLine,
  type RequestTimeline,
  RequestTimelineReader,
} from "../request_timeline.ts";

/** Fields that are not printed: present on all lines or without information about one request. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  "instance",
  "level",
  "request",
]);

/** Prints the timeline of one request from collected logs. */
export async function explainRequest(
  { output }: Context,
  args: readonly string[],
): Promise<ExitCode> {
  const request = requiredArg(args, 0, "the request's id");
  const reader = new RequestTimelineReader(request);
  const files = args.slice(1);
  if (files.length === 0) {
    await readLines(process.stdin, reader);
  }
  for (const file of files) {
    await readLines(createReadStream(file), reader).catch((err: Error) => {
      throw new CommandError(
        ExitCode.usage,
        `Cannot read the log file: ${err.message}`,
      );
    });
  }
  const timeline = reader.timeline();
  output.result(timeline, () => print(output, request, timeline));
  return timeline.own.length === 0 ? ExitCode.refused : ExitCode.ok;
}

async function readLines(
  stream: NodeJS.ReadableStream,
  reader: RequestTimelineReader,
): Promise<void> {
  for await (const line of createInterface({ input: stream })) {
    reader.read(line);
  }
}

function print(
  output: Output,
  request: string,
  timeline: RequestTimeline,
): void {
  if (timeline.unreadable > 0) {
    output.note(`skipped ${timeline.unreadable} lines that are not log lines`);
  }
  if (timeline.own.length === 0) {
    output.note(
      `no log line has request id ${request}: the log of its VM is missing, or the request ended in time while lines were thinned`,
    );
    return;
  }
  const stateLines = new Set(timeline.beliefs);
  const lines = [...timeline.own, ...timeline.beliefs].toSorted(
    byTime,
  );
  output.table(
    ["TIME", "VM", "", "EVENT", "FIELDS"],
    lines.map((line) => [
      line.timestamp.slice(11, 23),
      line.vm,
      stateLines.has(line) ? "" : ">",
      line.message,
      fieldsOf(line),
    ]),
  );
}

function fieldsOf({ fields }: LogLine): string {
  return Object.entries(fields)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
