/**
 * The operator's command, for programs that run it in their own process.
 *
 * @module
 */

export { ExitCode } from "./exit_code.ts";
export type { Terminal } from "./output.ts";
export { run, type RunOptions } from "./program.ts";
export {
  type LogLine,
  type RequestTimeline,
  RequestTimelineReader,
} from "./request_timeline.ts";
