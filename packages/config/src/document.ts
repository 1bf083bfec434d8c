/**
 * Parses a JSON document, validates it against a schema and collects all findings.
 *
 * @module
 */

import { type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import type { ZodError, ZodType } from "zod";
import {
  type Finding,
  FindingsError,
  Locator,
  type PathStep,
  toPointer,
} from "./finding.ts";

/** A problem that a check reports, before it is located in the document. */
export interface Issue {
  readonly path: readonly PathStep[];
  readonly message: string;
}

/** A document format: its schema and the checks across fields. */
export interface DocumentFormat<T> {
  /** Name of the document in messages, for example "the settings". */
  readonly subject: string;
  readonly schema: ZodType<T>;
  /** Checks across fields; runs only on documents that match the schema. */
  readonly crossCheck: (value: T) => readonly Issue[];
  /** Top-level fields whose values {@link readDocumentLeniently} leaves out if the schema rejects them. */
  readonly optionalFields?: readonly string[];
  /** Brings a parsed value into the form that the schema describes. */
  readonly normalize?: (value: unknown) => unknown;
}

/** What {@link readDocumentLeniently} returns. */
export interface LenientDocument<T> {
  readonly value: T;
  /** Optional values that were left out. */
  readonly leftOut: readonly Finding[];
}

/** Parses `text` as a document of `format`; throws {@link FindingsError} with all findings. */
export function readDocument<T>(text: string, format: DocumentFormat<T>): T {
  const { value, locator } = parseDocument(text, format);
  return validateValue(value, format, locator);
}

/** Like {@link readDocument}, but leaves out what the schema rejects in optional fields. */
export function readDocumentLeniently<T>(
  text: string,
  format: DocumentFormat<T>,
): LenientDocument<T> {
  const { value, locator } = parseDocument(text, format);
  const optional = new Set<PathStep>(format.optionalFields);
  const issues = issuesOf(value, format)
    .filter(({ path }) => optional.has(path[0]!));
  const byPointer = new Map(
    issues.map(({ path }) => [toPointer(path), path] as const),
  );
  // From the last one on, so that the indexes of lists stay valid.
  const usable = [...byPointer.values()].reduceRight(withoutValueAt, value);
  // Findings are those of the document as it was written.
  const reported = issuesOf(usable, format).length > 0 ? value : usable;
  return {
    value: validateValue(reported, format, locator),
    leftOut: issues.map(({ path, message }) =>
      locator.findingAt(path, message)
    ),
  };
}

function parseDocument<T>(
  text: string,
  format: DocumentFormat<T>,
): { value: unknown; locator: Locator } {
  const syntaxErrors: ParseError[] = [];
  const root = parseTree(text, syntaxErrors, { disallowComments: true });
  const locator = new Locator(text, root);
  if (syntaxErrors.length > 0) {
    const findings = syntaxErrors.map((err): Finding => ({
      pointer: "",
      ...locator.positionAt(err.offset),
      message: `invalid JSON: ${printParseErrorCode(err.error)}`,
    }));
    throw new FindingsError(format.subject, findings);
  }
  const value: unknown = JSON.parse(text);
  return { value: format.normalize?.(value) ?? value, locator };
}

function issuesOf<T>(
  value: unknown,
  format: DocumentFormat<T>,
): readonly Issue[] {
  const parsed = format.schema.safeParse(value, { reportInput: true });
  return parsed.success ? [] : schemaIssues(parsed.error);
}

/** A copy of `value` without what is at `path`; later entries of a list move up. */
function withoutValueAt(value: unknown, path: readonly PathStep[]): unknown {
  const copy: unknown = structuredClone(value);
  const last = path.at(-1)!;
  let parent = copy as Record<PathStep, unknown> | undefined;
  for (const step of path.slice(0, -1)) {
    parent = parent?.[step] as typeof parent;
  }
  if (Array.isArray(parent)) {
    parent.splice(Number(last), 1);
  } else {
    delete parent?.[last];
  }
  return copy;
}

/** Validates a parsed value as a document of `format`; without a `locator`, findings have pointers but no line or column. */
export function validateValue<T>(
  value: unknown,
  format: DocumentFormat<T>,
  locator: Locator = new Locator("", undefined),
): T {
  const parsed = format.schema.safeParse(value, { reportInput: true });
  if (!parsed.success) {
    const findings = schemaIssues(parsed.error)
      .map(({ path, message }) => locator.findingAt(path, message))
      .toSorted(byPosition);
    throw new FindingsError(format.subject, findings);
  }
  const issues = format.crossCheck(parsed.data);
  if (issues.length > 0) {
    const findings = issues.map(({ path, message }) =>
      locator.findingAt(path, message)
    );
    throw new FindingsError(format.subject, findings);
  }
  return parsed.data;
}

function schemaIssues(error: ZodError): readonly Issue[] {
  return error.issues.flatMap((issue): Issue[] => {
    const path = issue.path.map((step) =>
      typeof step === "symbol" ? String(step) : step
    );
    if (issue.code === "unrecognized_keys") {
      // One finding per unknown field, located at the field itself.
      return issue.keys.map((key) => ({
        path: [...path, key],
        message: "unknown field",
      }));
    }
    return [{ path, message: messageOf(issue) }];
  });
}

/** The message of the schema library, except for a missing field, which its message does not name as such. */
function messageOf(issue: ZodError["issues"][number]): string {
  if (issue.code === "invalid_type" && issue.input === undefined) {
    return `missing; expected ${issue.expected}`;
  }
  return issue.message;
}

/** Compares findings by their position in the file. */
function byPosition(a: Finding, b: Finding): number {
  return (a.line ?? 0) - (b.line ?? 0) || (a.column ?? 0) - (b.column ?? 0);
}
