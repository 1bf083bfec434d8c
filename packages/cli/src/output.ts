/**
 * Output of a command: tables and lines for people, or one JSON value for scripts.
 *
 * @module
 */

import Table from "cli-table3";

/** Destination of output lines; tests collect them. */
export interface Terminal {
  /** Writes a line to standard output. */
  out(line: string): void;
  /** Writes a line to standard error. */
  err(line: string): void;
}

/** Prints results either for people or as JSON, never both, so that scripts can parse the output. */
export class Output {
  readonly #terminal: Terminal;
  readonly #json: boolean;

  constructor(terminal: Terminal, json: boolean) {
    this.#terminal = terminal;
    this.#json = json;
  }

  /** Prints the command's result: `value` as JSON, or through `printText`. */
  result(value: unknown, printText: () => void): void {
    if (this.#json) {
      this.#terminal.out(JSON.stringify(value, null, 2));
      return;
    }
    printText();
  }

  line(text: string): void {
    this.#terminal.out(text);
  }

  /** Prints a message that is not part of the result, to standard error. */
  note(text: string): void {
    this.#terminal.err(text);
  }

  /** Prints a table without borders, so that line tools such as `cut` and `grep` can process it. */
  table(head: readonly string[], rows: readonly (readonly unknown[])[]): void {
    const table = new Table({
      head: [...head],
      style: { head: [], border: [], "padding-left": 0, "padding-right": 2 },
      chars: BORDERLESS,
    });
    table.push(...rows.map((row) => row.map((cell) => String(cell ?? "-"))));
    for (const line of table.toString().split("\n")) {
      this.#terminal.out(line.trimEnd());
    }
  }
}

const BORDERLESS = Object.fromEntries(
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
