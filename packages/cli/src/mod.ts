/**
 * The operator's command, for programs that run it inside their own process.
 *
 * @module
 */

export { ExitCode } from "./exit_code.ts";
export type { Terminal } from "./output.ts";
export { run, type Surroundings } from "./program.ts";
export {
  type LogLine,
  type RequestStory,
  RequestStoryReader,
} from "./request_story.ts";
