/**
 * What a command prints: tables and lines for people, or one JSON value.
 *
 * @module
 */

import Table from "cli-table3";

/** Where lines go; tests collect them. */
export interface Terminal {
  /** Writes a line to standard output. */
  out(line: string): void;
  /** Writes a line to standard error. */
  err(line: string): void;
}

/** Prints either for people or as JSON, never both, so that scripts can parse it. */
export class Output {
  readonly #terminal: Terminal;
  readonly #json: boolean;

  constructor(terminal: Terminal, json: boolean) {
    this.#terminal = terminal;
    this.#json = json;
  }

  /** The command's result: `value` as JSON, or whatever `people` prints. */
  result(value: unknown, people: () => void): void {
    if (this.#json) {
      this.#terminal.out(JSON.stringify(value, null, 2));
      return;
    }
    people();
  }

  line(text: string): void {
    this.#terminal.out(text);
  }

  /** A remark that is no part of the result. */
  note(text: string): void {
    this.#terminal.err(text);
  }

  /** A table without frames, so that it can be cut and searched by line. */
  table(head: readonly string[], rows: readonly (readonly unknown[])[]): void {
    const table = new Table({
      head: [...head],
      style: { head: [], border: [], "padding-left": 0, "padding-right": 2 },
      chars: FRAMELESS,
    });
    table.push(...rows.map((row) => row.map((cell) => String(cell ?? "-"))));
    for (const line of table.toString().split("\n")) {
      this.#terminal.out(line.trimEnd());
    }
  }
}

const FRAMELESS = Object.fromEntries(
  [
    "top",
    "top-mid",
    "top-left",
    "top-right",
    "bottom",
    "bottom-mid",
    "bottom-left",
    "bottom-right",
    "left",
    "left-mid",
    "mid",
    "mid-mid",
    "right",
    "right-mid",
    "middle",
  ].map((part) => [part, ""]),
);
