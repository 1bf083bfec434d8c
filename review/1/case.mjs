/**
 * An upstream that is full refuses an unsafe request, and its extra copy of that
 * refusal arrives where the next response of the connection is expected. See claim.txt.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  ClientConnection,
  configuration,
  hasTrouble,
  sleep,
  Stage,
  successHead,
} from "../lib/stage.mjs";

const VMS = 5;
const ROUNDS = 8;
/** An upstream of the site's `clearing`. */
const SLOTS = 3;
const QUEUE = 9;
const READ_MS = 20;
const POST_MS = 150;
/** Round trip between a VM and an upstream of another zone, and some processing. */
const ROUND_TRIP_MS = 5;
/** Largest share of responses with extra bytes in the site file. */
const MAX_EXTRA_SHARE = 0.03;
const KEY = "key-of-member-1";

/** Bounds of the site where they differ from those of `hlasovka`. */
const SITE_BOUNDS = {
  ack_timeout_s: 6,
  catch_up_s: 6,
  drain_timeout_s: 4,
  config_apply_s: 4,
  strict_revoke: true,
  revoke_s: 5,
  budget_slack: 216,
  quota_window_s: 5,
  quota_overage: 0.1,
  quota_slack: 20,
  cold_slack: 8,
};

/** The full upstream: runs `SLOTS` requests at once, queues some, and refuses the others. */
class BusyUpstream {
  runs = new Map();
  refusals = 0;
  extras = 0;
  responses = 0;
  #spell = { responses: 0, extras: 0 };
  #running = 0;
  #queue = [];
  #connectionOf = new Map();
  /** The extra response that is due on a connection. */
  #late = new Map();
  /** Refusals in a row by VM. */
  #inRow = new Map();

  constructor(record) {
    this.record = record;
  }

  /** A spell of the disruption begins. */
  beginSpell() {
    this.#spell = { responses: 0, extras: 0 };
  }

  serve(request, socket) {
    const { id } = request;
    const before = this.#connectionOf.get(id);
    if (before !== undefined && request.method === "POST") {
      const where = before === socket ? "same" : "another";
      this.record.write(`upstream: ${id} arrives again on ${where} connection`);
    }
    this.#connectionOf.set(id, socket);
    this.#sendLate(socket, id);
    const vm = socket.remoteAddress;
    if (this.#running < SLOTS || this.#queue.length < QUEUE) {
      this.#inRow.set(vm, 0);
      this.#queue.push({ request, socket });
      this.#startNext();
      return;
    }
    this.refusals += 1;
    const inRow = (this.#inRow.get(vm) ?? 0) + 1;
    this.#inRow.set(vm, inRow);
    const refusal = `HTTP/1.1 503 Busy\r\nRequest-Id: ${id}\r\n` +
      `Not-Executed: 1\r\n${this.#load}Content-Length: 0\r\n\r\n`;
    this.record.write(`upstream: refuses ${id}, Not-Executed`);
    this.#respond(socket, refusal);
    if (inRow === 3) {
      this.#late.set(socket, refusal);
    }
  }

  /** An extra response arrives at the point where the next one is expected. */
  #sendLate(socket, nextId) {
    const late = this.#late.get(socket);
    this.#late.delete(socket);
    const { responses, extras } = this.#spell;
    const isInLimit = extras + 1 <= MAX_EXTRA_SHARE * responses;
    if (hasTrouble && late !== undefined && isInLimit) {
      this.#spell.extras += 1;
      this.extras += 1;
      this.record.write(
        `upstream: sends an earlier refusal once more, before its response to ${nextId}`,
      );
      socket.write(late);
    }
  }

  get #load() {
    return `Server-Load: ${this.#running},${this.#queue.length},${SLOTS}\r\n`;
  }

  #startNext() {
    while (this.#running < SLOTS && this.#queue.length > 0) {
      const { request: { id, method }, socket } = this.#queue.shift();
      this.#running += 1;
      this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
      if (method === "POST") {
        this.record.write(`upstream: runs ${id}`);
      }
      setTimeout(() => {
        this.#running -= 1;
        this.#startNext();
        const head = `${successHead(id)}${this.#load}`;
        this.#respond(socket, `${head}Content-Length: 2\r\n\r\nok`);
      }, method === "POST" ? POST_MS : READ_MS);
    }
  }

  #respond(socket, bytes) {
    this.responses += 1;
    this.#spell.responses += 1;
    setTimeout(() => socket.destroyed || socket.write(bytes), ROUND_TRIP_MS);
  }
}

await Stage.run(
  dirname(fileURLToPath(import.meta.url)),
  async (stage, record) => {
    const routes = [
      { prefix: "/balance/", timeout_s: 2.5, target_latency_s: 0.5 },
      {
        prefix: "/posting/",
        route_type: "unsafe",
        max_attempts: 3,
        timeout_s: 3,
        target_latency_s: 1.5,
      },
    ];
    const tenants = [
      { name: "member-1", api_keys: [KEY], rate_per_s: 0, burst: 0 },
    ];
    stage.store.put("op", "config", configuration(1, routes, { tenants }));
    const upstream = new BusyUpstream(record);
    await stage.addUpstream("i-1", (...args) => upstream.serve(...args), {
      born: Date.now(),
      slots: SLOTS,
    });
    await stage.startVms(VMS, { bounds: SITE_BOUNDS });
    await sleep(3_000);

    const answers = new Map();
    let reads = 0;
    const ask = async (connection, method, path, id) => {
      const headers = { Authorization: `Bearer ${KEY}` };
      const body = method === "POST" ? "1 EUR" : "";
      const answer = await connection
        .ask({ method, path, id, headers, body, deadlineMs: 6_000 });
      if (method === "POST") {
        answers.set(id, answer?.status);
        record.write(`client: ${id} gets ${answer?.status ?? "no answer"}`);
      }
    };
    // Clients keep connections open: five at each VM, three at the last one.
    const clients = stage.vms.map(({ host }, index) =>
      Array.from(
        { length: index < VMS - 1 ? 5 : 3 },
        () => new ClientConnection(host),
      )
    );
    for (let round = 0; round < ROUNDS; round++) {
      // Ordinary reads, some seconds long.
      upstream.beginSpell();
      await Promise.all(
        clients.flat().map(async (client) => {
          for (let count = 0; count < 8; count++) {
            await ask(client, "GET", "/balance/a", `read-${reads++}`);
            await sleep(250 + Math.random() * 100);
          }
        }),
      );
      await sleep(1_050);
      // Then postings, all at once: more than the upstream takes.
      const post = (vm, index) =>
        ask(
          clients[vm][index],
          "POST",
          "/posting/a",
          `post-${round}-vm${vm + 1}-${index}`,
        );
      const posts = [];
      for (let index = 0; index < 5; index++) {
        for (let vm = 0; vm < VMS - 1; vm++) {
          posts.push(post(vm, index));
        }
      }
      await sleep(40);
      for (let index = 0; index < 3; index++) {
        posts.push(post(VMS - 1, index));
      }
      await Promise.all(posts);
      await sleep(500);
    }
    await sleep(1_000);
    const { responses, refusals, extras, runs } = upstream;
    record.write(
      `upstream: ${responses} responses, ${refusals} of them refusals, ` +
        `${extras} extra ones`,
    );
    let broken = 0;
    for (const [id, status] of answers) {
      const count = runs.get(id) ?? 0;
      if (count > 1 || (count > 0 && (status === 503 || status === 429))) {
        broken += 1;
        record.write(`BROKEN: ${id} was answered ${status} and ran ${count}x`);
      }
    }
    record.write(`${answers.size} postings, rule broken for ${broken}`);
    return broken === 0;
  },
);
