/**
 * Routes of the operators' listener: maps each request to a call of the backend.
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

/** The parts of an operator's request that the routes use. */
export interface OperatorRequest {
  readonly method: string;
  readonly url: URL;
  /** Name of the operator whose token the request carries. */
  readonly who: string;
  /** Reads the body as JSON. */
  readonly body: () => Promise<unknown>;
}

const DEFAULT_AUDIT_LIMIT = 50;
const MAX_AUDIT_LIMIT = 1_000;

/** Returns the value to send as JSON; throws {@link HttpError} if the request fails. */
export async function handleRequest(
  backend: OperatorBackend,
  req: OperatorRequest,
): Promise<unknown> {
  const segments = req.url.pathname.split("/").slice(1);
  const [version, resource, name, detail] = segments;
  if (version !== "v1" || segments.length > 4) {
    throw new HttpError(404, "no such resource");
  }
  if (name !== undefined && resource !== "presets") {
    throw new HttpError(404, "no such resource");
  }
  switch (`${req.method} ${resource}`) {
    case "GET status":
      return backend.status();
    case "GET configuration":
      return requireFound(backend.configuration(), "no preset is in force yet");
    case "GET presets":
      return await readPresets(backend, req.url, { name, detail });
    case "POST check":
      return checkPreset(await req.body());
    case "POST changes":
      return await acceptChange(backend, req);
    case "GET audit":
      return await backend.audit({
        before: integerParam(req.url, "before"),
        limit: Math.min(
          integerParam(req.url, "limit") ?? DEFAULT_AUDIT_LIMIT,
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
      const version = await backend.preset(
        preset,
        integerParam(url, "version"),
      );
      return requireFound(
        version,
        `preset "${name}" does not exist or has no such version`,
      );
    }
    case "history":
      return await backend.presetHistory(preset);
    default:
      throw new HttpError(404, "no such resource");
  }
}

async function acceptChange(
  backend: OperatorBackend,
  req: OperatorRequest,
): Promise<ChangeResponse> {
  const request = validateValue(await req.body(), changeRequestFormat);
  if (request.change.kind === "edit") {
    const { findings } = checkPreset(request.change.preset);
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

function checkPreset(value: unknown): CheckResponse {
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

function requireFound<T>(value: T | undefined, message: string): T {
  if (value === undefined) {
    throw new HttpError(404, message);
  }
  return value;
}

function integerParam(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name);
  if (text === null) {
    return undefined;
  }
  if (!/^\d{1,12}$/.test(text)) {
    throw new HttpError(
      400,
      `${name} must be a non-negative integer of at most 12 digits`,
    );
  }
  return Number(text);
}
