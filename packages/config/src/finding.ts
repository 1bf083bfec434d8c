/**
 * Findings: what a check of a settings file or preset found, each with its
 * place, collected and reported together.
 *
 * @module
 */

import { findNodeAtLocation, type Node } from "jsonc-parser";

/** One thing wrong with a document. */
export interface Finding {
  /** JSON pointer to the value, for example `/routes/0/class`; empty for the whole document. */
  readonly pointer: string;
  /** Place in the file, from 1; absent where the document did not come from a file. */
  readonly line?: number;
  readonly column?: number;
  /** What was found and what is allowed, in one sentence. */
  readonly message: string;
}

/** A document was refused; carries every finding, not just the first. */
export class FindingsError extends Error {
  override readonly name = "FindingsError";
  readonly findings: readonly Finding[];

  constructor(subject: string, findings: readonly Finding[]) {
    super(`Cannot accept ${subject}: ${findings.length} findings`);
    this.findings = findings;
  }
}

/** A step from the root of a document to a value in it. */
export type PathStep = string | number;

/** Renders a path as a JSON pointer. */
export function toPointer(path: readonly PathStep[]): string {
  return path
    .map((step) =>
      `/${String(step).replaceAll("~", "~0").replaceAll("/", "~1")}`
    )
    .join("");
}

/** Renders a finding for people: `file:line:column: pointer: message`. */
export function formatFinding(file: string, finding: Finding): string {
  const place = finding.line === undefined
    ? file
    : `${file}:${finding.line}:${finding.column}`;
  const pointer = finding.pointer === "" ? "(document)" : finding.pointer;
  return `${place}: ${pointer}: ${finding.message}`;
}

/** Makes findings for the values of one text, with line and column. */
export class Locator {
  readonly #text: string;
  readonly #root: Node | undefined;

  constructor(text: string, root: Node | undefined) {
    this.#text = text;
    this.#root = root;
  }

  /** A finding at `path`, or at its nearest ancestor where the value is missing. */
  at(path: readonly PathStep[], message: string): Finding {
    const pointer = toPointer(path);
    for (let length = path.length; length >= 0; length--) {
      const node = this.#root === undefined
        ? undefined
        : findNodeAtLocation(this.#root, path.slice(0, length));
      if (node !== undefined) {
        return { pointer, ...this.place(node.offset), message };
      }
    }
    return { pointer, message };
  }

  /** Line and column, from 1, of an offset into the text. */
  place(offset: number): { line: number; column: number } {
    const before = this.#text.slice(0, offset).split("\n");
    return {
      line: before.length,
      column: before[before.length - 1]!.length + 1,
    };
  }
}
