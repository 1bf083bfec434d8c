/**
 * HTTP client for the operator listener.
 *
 * @module
 */

import type {
  Configuration,
  Preset,
  PresetVersion,
} from "@poplarthread/config";
import type { PresetId, ZoneId } from "@poplarthread/ids";
import { Pool } from "undici";
import type {
  AuditEntry,
  ChangeRequest,
  ChangeResponse,
  CheckResponse,
  ErrorResponse,
  ExplainRequest,
  Explanation,
  LookupResponse,
  PresetSummary,
  Status,
} from "./types.ts";

/** The VM responded with an error status, or could not be reached (`status` 0). */
export class OperatorApiError extends Error {
  override readonly name = "OperatorApiError";
  readonly status: number;
  readonly errorBody: ErrorResponse | undefined;

  constructor(message: string, status: number, errorBody?: ErrorResponse) {
    super(message);
    this.status = status;
    this.errorBody = errorBody;
  }
}

/** Address of a VM's operator listener, and the operator's token. */
export interface OperatorClientOptions {
  /** `http://host:port` of a VM's operator listener. */
  readonly url: string;
  readonly token: string;
  readonly timeoutMs: number;
}

/** Calls the operator API of one VM; all failures are {@link OperatorApiError}s. */
export class OperatorClient {
  readonly #pool: Pool;
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#pool = new Pool(options.url, { connections: 2 });
    this.#options = options;
  }

  async status(): Promise<Status> {
    return await this.#call("/v1/status") as Status;
  }

  async configuration(): Promise<Configuration> {
    return await this.#call("/v1/configuration") as Configuration;
  }

  async presets(): Promise<readonly PresetSummary[]> {
    return await this.#call("/v1/presets") as PresetSummary[];
  }

  /** Fetches one version of a preset; by default the latest. */
  async preset(preset: PresetId, version?: number): Promise<PresetVersion> {
    const query = version === undefined ? "" : `?version=${version}`;
    return await this.#call(`/v1/presets/${preset}${query}`) as PresetVersion;
  }

  async history(preset: PresetId): Promise<readonly AuditEntry[]> {
    return await this.#call(`/v1/presets/${preset}/history`) as AuditEntry[];
  }

  async check(preset: Preset): Promise<CheckResponse> {
    return await this.#call("/v1/check", preset) as CheckResponse;
  }

  async change(change: ChangeRequest): Promise<ChangeResponse> {
    return await this.#call("/v1/changes", change) as ChangeResponse;
  }

  /** Fetches the newest audit entries, or the newest before a revision. */
  async audit(
    options: { limit: number; before?: number },
  ): Promise<readonly AuditEntry[]> {
    const before = options.before === undefined
      ? ""
      : `&before=${options.before}`;
    return await this.#call(
      `/v1/audit?limit=${options.limit}${before}`,
    ) as AuditEntry[];
  }

  async lookup(zone?: ZoneId): Promise<LookupResponse> {
    const query = zone === undefined ? "" : `?zone=${zone}`;
    return await this.#call(`/v1/lookup${query}`) as LookupResponse;
  }

  async explain(request: ExplainRequest): Promise<Explanation> {
    return await this.#call("/v1/explain", request) as Explanation;
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(path: string, body?: unknown): Promise<unknown> {
    const res = await this.#send(path, body);
    if (res.status >= 200 && res.status < 300) {
      return res.body;
    }
    const error = res.body as ErrorResponse;
    throw new OperatorApiError(
      `Cannot call ${path}: ${error.message}`,
      res.status,
      error,
    );
  }

  async #send(
    path: string,
    body: unknown,
  ): Promise<{ status: number; body: unknown }> {
    try {
      const res = await this.#pool.request({
        path,
        method: body === undefined ? "GET" : "POST",
        headers: {
          authorization: `Bearer ${this.#options.token}`,
          "content-type": "application/json",
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(this.#options.timeoutMs),
      });
      return { status: res.statusCode, body: await res.body.json() };
    } catch (err) {
      const { url } = this.#options;
      throw new OperatorApiError(
        `Cannot reach the VM at ${url}: ${(err as Error).message}`,
        0,
      );
    }
  }
}
