/**
 * Assembles the timeline of one request from the logs of any number of VMs.
 *
 * @module
 */

/** A parsed log line. */
export interface LogLine {
  readonly timestamp: string;
  readonly vm: string;
  readonly message: string;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The log lines that concern a request. */
export interface RequestTimeline {
  /** Lines with the request's id, ordered by time. */
  readonly own: readonly LogLine[];
  /** State changes on the request's VMs shortly before and during it: of its targets and services, and of the VM as a whole. */
  readonly beliefs: readonly LogLine[];
  /** Number of lines that are not JSON log lines, such as the truncated end of a file. */
  readonly unreadable: number;
}

/** How long before a request's end state changes are included: the longest timeout of a route plus the longest time to detect an unresponsive target. */
const LOOKBACK_MS = 10_000;

/** Events about the state of a VM as a whole rather than of one target. */
const VM_WIDE_EVENTS: ReadonlySet<string> = new Set([
  "configuration in force",
  "configuration not used",
  "contact lost",
  "contact regained",
  "homes unanswered",
  "leaving",
  "peer down",
  "started",
  "zone evacuated",
  "zone taken back",
]);

/** Reads logs line by line and keeps the lines that may concern one request. */
export class RequestTimelineReader {
  readonly #request: string;
  readonly #requestLines: LogLine[] = [];
  readonly #stateLines: LogLine[] = [];
  #unreadable = 0;

  constructor(request: string) {
    this.#request = request;
  }

  /** Adds one line. */
  read(text: string): void {
    if (text.trim() === "") {
      return;
    }
    const line = parse(text);
    if (line === undefined) {
      this.#unreadable += 1;
      return;
    }
    if (line.fields.request === this.#request) {
      this.#requestLines.push(line);
    } else if (line.fields.request === undefined) {
      this.#stateLines.push(line);
    }
  }

  /** Returns the timeline after all lines have been added. */
  timeline(): RequestTimeline {
    const requestLines = this.#requestLines.toSorted(byTime);
    return {
      own: requestLines,
      beliefs: requestLines.length === 0
        ? []
        : this.#stateChangesAround(requestLines),
      unreadable: this.#unreadable,
    };
  }

  #stateChangesAround(requestLines: readonly LogLine[]): readonly LogLine[] {
    const vms = new Set(requestLines.map(({ vm }) => vm));
    const targets = new Set(requestLines.map(({ fields }) => fields.target));
    const services = new Set(requestLines.map(({ fields }) => fields.service));
    const end = Date.parse(requestLines.at(-1)!.timestamp);
    return this.#stateLines.filter(({ vm, timestamp, message, fields }) => {
      const ageMs = end - Date.parse(timestamp);
      const isRelevant = VM_WIDE_EVENTS.has(message) ||
        (fields.target !== undefined && targets.has(fields.target)) ||
        (fields.service !== undefined && services.has(fields.service));
      return vms.has(vm) && ageMs >= 0 && ageMs <= LOOKBACK_MS && isRelevant;
    }).toSorted(byTime);
  }
}

function parse(text: string): LogLine | undefined {
  try {
    const { timestamp, vm, message, ...fields } = JSON.parse(text);
    return typeof timestamp === "string" && typeof vm === "string" &&
        typeof message === "string"
      ? { timestamp, vm, message, fields }
      : undefined;
  } catch {
    return undefined;
  }
}

/** Compares log lines by time. */
export function byTime(a: LogLine, b: LogLine): number {
  return a.timestamp < b.timestamp ? -1 : a.timestamp > b.timestamp ? 1 : 0;
}
