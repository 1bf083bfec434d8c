/**
 * HTTP API of the operator listener: types, request formats and a client.
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
