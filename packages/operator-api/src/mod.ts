/**
 * The operator listener's HTTP API: its types, and a client for it.
 *
 * @module
 */

export * from "./types.ts";
export { changeRequestFormat, explainRequestFormat } from "./formats.ts";
export {
  OperatorApiError,
  OperatorClient,
  type OperatorClientOptions,
} from "./client.ts";
