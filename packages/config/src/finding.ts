/**
 * Findings: the problems that the check of a settings file or preset detected, each
 * with its position, collected and reported together.
 *
 * @module
 */

import { findNodeAtLocation, type Node } from "jsonc-parser";

/** A problem in a document. */
export interface Finding {
  /** JSON pointer to the value, for example `/routes/0/class`; empty for the whole document. */
  readonly pointer: string;
  /** Line, starting at 1; absent if the document was not read from a file. */
  readonly line?: number;
  /** Column, starting at 1; absent as with `line`. */
  readonly column?: number;
  /** What was found and what is allowed. */
  readonly message: string;
}

/** Thrown when a document is rejected; has all findings, not just the first. */
export class FindingsError extends Error {
  override readonly name = "FindingsError";
  readonly findings: readonly Finding[];

  constructor(subject: string, findings: readonly Finding[]) {
    super(`Cannot accept ${subject}: ${findings.length} findings`);
    this.findings = findings;
  }
}

/** One step of the path from the root of a document to a value. */
export type PathStep = string | number;

/** Formats a path as a JSON pointer. */
export function toPointer(path: readonly PathStep[]): string {
  return path
    .map((step) =>
      `/${String(step).replaceAll("~", "~0").replaceAll("/", "~1")}`
    )
    .join("");
}

/** Formats a finding as `file:line:column: pointer: message`. */
export function formatFinding(file: string, finding: Finding): string {
  const position = finding.line === undefined
    ? file
    : `${file}:${finding.line}:${finding.column}`;
  const pointer = finding.pointer === "" ? "(document)" : finding.pointer;
  return `${position}: ${pointer}: ${finding.message}`;
}

/** Locates the values of a JSON text and creates findings with line and column. */
export class Locator {
  readonly #text: string;
  readonly #root: Node | undefined;

  constructor(text: string, root: Node | undefined) {
    this.#text = text;
    this.#root = root;
  }

  /** Creates a finding at `path`; if the value is missing, at the position of its nearest ancestor. */
  findingAt(path: readonly PathStep[], message: string): Finding {
    const pointer = toPointer(path);
    for (let length = path.length; length >= 0; length--) {
      const node = this.#root === undefined
        ? undefined
        : findNodeAtLocation(this.#root, path.slice(0, length));
      if (node !== undefined) {
        return { pointer, ...this.positionAt(node.offset), message };
      }
    }
    return { pointer, message };
  }

  /** Line and column of an offset into the text, both starting at 1. */
  positionAt(offset: number): { line: number; column: number } {
    const before = this.#text.slice(0, offset).split("\n");
    return {
      line: before.length,
      column: before[before.length - 1]!.length + 1,
    };
  }
}
