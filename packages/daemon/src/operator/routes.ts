/**
 * The operator listener's routes: which call of the backend answers which
 * request.
 *
 * @module
 */

import {
  FindingsError,
  presetFormat,
  validateValue,
} from "@poplarthread/config";
import { id, type PresetId, type ZoneId } from "@poplarthread/ids";
import {
  changeRequestFormat,
  type ChangeResponse,
  type CheckResponse,
  explainRequestFormat,
} from "@poplarthread/operator-api";
import type { OperatorBackend } from "../operator_backend.ts";
import { HttpError } from "./http_error.ts";

/** A request of an operator, as far as routes look at it. */
export interface OperatorRequest {
  readonly method: string;
  readonly url: URL;
  /** Name of the operator, from the token. */
  readonly who: string;
  /** Reads the body as JSON. */
  readonly body: () => Promise<unknown>;
}

const DEFAULT_AUDIT_LIMIT = 50;
const MAX_AUDIT_LIMIT = 1_000;

/** Answers with the value to send as JSON; throws {@link HttpError} otherwise. */
export async function answer(
  backend: OperatorBackend,
  req: OperatorRequest,
): Promise<unknown> {
  const steps = req.url.pathname.split("/").slice(1);
  const [version, resource, name, detail] = steps;
  if (version !== "v1" || steps.length > 4) {
    throw new HttpError(404, "no such resource");
  }
  if (name !== undefined && resource !== "presets") {
    throw new HttpError(404, "no such resource");
  }
  switch (`${req.method} ${resource}`) {
    case "GET status":
      return backend.status();
    case "GET configuration":
      return found(backend.configuration(), "no preset is in force yet");
    case "GET presets":
      return await readPresets(backend, req.url, { name, detail });
    case "POST check":
      return check(await req.body());
    case "POST changes":
      return await change(backend, req);
    case "GET audit":
      return await backend.audit({
        before: number(req.url, "before"),
        limit: Math.min(
          number(req.url, "limit") ?? DEFAULT_AUDIT_LIMIT,
          MAX_AUDIT_LIMIT,
        ),
      });
    case "GET lookup": {
      const zone = req.url.searchParams.get("zone");
      return backend.lookup(zone === null ? undefined : id<ZoneId>(zone));
    }
    case "POST explain":
      return backend.explain(
        validateValue(await req.body(), explainRequestFormat),
      );
    default:
      throw new HttpError(404, "no such resource");
  }
}

async function readPresets(
  backend: OperatorBackend,
  url: URL,
  { name, detail }: { name: string | undefined; detail: string | undefined },
): Promise<unknown> {
  if (name === undefined) {
    return await backend.presets();
  }
  const preset = id<PresetId>(name);
  switch (detail) {
    case undefined: {
      const version = await backend.preset(preset, number(url, "version"));
      return found(version, `there is no such version of preset "${name}"`);
    }
    case "history":
      return await backend.presetHistory(preset);
    default:
      throw new HttpError(404, "no such resource");
  }
}

async function change(
  backend: OperatorBackend,
  req: OperatorRequest,
): Promise<ChangeResponse> {
  const request = validateValue(await req.body(), changeRequestFormat);
  if (request.change.kind === "edit") {
    const { findings } = check(request.change.preset);
    if (findings.length > 0) {
      return {
        kind: "refused",
        reason: "the preset has findings",
        findings,
      };
    }
  }
  return await backend.accept({ ...request, who: req.who });
}

function check(value: unknown): CheckResponse {
  try {
    validateValue(value, presetFormat);
    return { findings: [] };
  } catch (err) {
    if (err instanceof FindingsError) {
      return { findings: err.findings };
    }
    throw err;
  }
}

function found<T>(value: T | undefined, message: string): T {
  if (value === undefined) {
    throw new HttpError(404, message);
  }
  return value;
}

function number(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name);
  if (text === null) {
    return undefined;
  }
  if (!/^\d{1,12}$/.test(text)) {
    throw new HttpError(400, `${name} must be a whole number`);
  }
  return Number(text);
}
