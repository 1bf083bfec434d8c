/**
 * The documents that operators write, settings and presets: their formats and
 * checks, and the findings that a check reports.
 *
 * @module
 */

export {
  type Finding,
  FindingsError,
  formatFinding,
  type PathStep,
  toPointer,
} from "./finding.ts";
export {
  type DocumentFormat,
  type Issue,
  type LenientDocument,
  readDocument,
  readDocumentLeniently,
  validateValue,
} from "./document.ts";
export { type Settings, settingsFormat } from "./settings.ts";
export {
  type Preset,
  type PresetClass,
  presetFormat,
  type PresetLink,
  type PresetRegion,
  type PresetRoute,
  presetSchema,
  type PresetService,
} from "./preset.ts";
export type { Configuration, DrainSubject } from "./configuration.ts";
export {
  applyChange,
  type Change,
  type ChangeBase,
  type ChangeResult,
  type ChangeSummary,
  presetIdOf,
  type PresetVersion,
} from "./change.ts";
