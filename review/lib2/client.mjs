/**
 * A client that keeps one connection for several requests.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { connect } from "node:net";

/** One connection; see the module comment. */
export class Connection {
  #bytes = Buffer.alloc(0);
  #waiting = [];
  isClosed = false;

  constructor({ host, port, localAddress }) {
    this.socket = connect({ host, port, localAddress, noDelay: true });
    this.socket.on("error", () => undefined);
    this.socket.on("close", () => this.#close());
    this.socket.on("end", () => this.#close());
    this.socket.on("data", (chunk) => {
      this.#bytes = Buffer.concat([this.#bytes, chunk]);
      this.#take();
    });
  }

  /** Writes a request's head and resolves to its answer; undefined if the connection ends before it. */
  send(head) {
    this.socket.write(head);
    return new Promise((resolve) => {
      if (this.isClosed) {
        resolve(undefined);
        return;
      }
      this.#waiting.push(resolve);
    });
  }

  close() {
    this.socket.destroy();
  }

  #close() {
    this.isClosed = true;
    this.#waiting.splice(0).forEach((resolve) => resolve(undefined));
  }

  #take() {
    for (;;) {
      const end = this.#bytes.indexOf("\r\n\r\n");
      if (end < 0) {
        return;
      }
      const head = this.#bytes.subarray(0, end).toString("latin1");
      const length = Number(/content-length: *(\d+)/i.exec(head)?.[1] ?? 0);
      const bodyAt = end + 4;
      if (this.#bytes.length < bodyAt + length) {
        return;
      }
      const body = this.#bytes.subarray(bodyAt, bodyAt + length).toString();
      this.#bytes = this.#bytes.subarray(bodyAt + length);
      const status = Number(head.split(" ")[1]);
      const closes = /^connection: *close/im.test(head);
      this.#waiting.shift()?.({ status, head, body, closes });
    }
  }
}

/** The head of a request. */
export function requestHead(
  { method = "GET", path, id, deadlineMs = 2_500, object = 17, lines = [] },
) {
  return [
    `${method} ${path} HTTP/1.1`,
    "Host: site.example",
    `Request-Id: ${id}`,
    `Cookie: Affinity-Key=${object}`,
    `Deadline-Ms: ${deadlineMs}`,
    ...lines,
    "",
    "",
  ].join("\r\n");
}

/** Resolves to what `promise` does, or to `"none"` after `ms`. */
export function within(ms, promise) {
  let timer;
  const timeout = new Promise((resolve) => {
    timer = setTimeout(() => resolve("none"), ms);
  });
  return Promise.race([promise, timeout]).finally(() => clearTimeout(timer));
}
