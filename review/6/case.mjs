/**
 * Servers send answers twice, the second time late, and the health check of one of them
 * says 503 though it serves. See claim.txt.
 *
 * @module
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Connection, requestHead, within } from "../lib2/client.mjs";
import {
  configuration,
  Deployment,
  hasTrouble,
  runCase,
  Server,
  sleep,
  Store,
  waitUntil,
} from "../lib2/harness.mjs";

const ZONES = { "za-a": "zilina", "za-b": "zilina" };
const ROUNDS = 6;
const SERVERS = 8;
const DEADLINE_MS = 2_500;
const LONG_REQUEST_MS = 700;
/** Clients with long requests, more than there are slots. */
const LONG_CLIENTS = 26;
/** Pause between two short requests of other clients. */
const SHORT_INTERVAL_MS = 40;
/** How long answers are spoiled, and health checks are false, in each round. */
const GARBLE_MS = 5_000;
const FALSE_HEALTH_MS = 5_500;
/** From the first request of a round until the other clients come. */
const BUSY_AFTER_MS = 4_200;
/** From then on: a connection is checked once it has been idle for 5 s. */
const CHECK_WITHIN_MS = 4_000;
const PROMISES = [408, 421, 429, 503];

const dir = dirname(fileURLToPath(import.meta.url));

await runCase(dir, async ({ record, defer }) => {
  const store = new Store();
  await store.start();
  defer(() => store.stop());
  store.put(
    "op",
    "config",
    configuration(1, [
      {
        name: "read",
        prefix: "/read/",
        route_type: "safe",
        target_latency_s: 1,
        priority: 2,
        service: "docket",
      },
      {
        name: "objection",
        prefix: "/objection/",
        route_type: "unsafe",
        target_latency_s: 0.15,
        priority: 0,
        service: "docket",
      },
    ]),
  );
  const zones = Object.keys(ZONES);
  let garblesUntil = -Infinity;
  let answers = 0;
  let spoiled = 0;
  const servers = [];
  for (let index = 0; index < SERVERS; index++) {
    const server = new Server({
      id: `s-${index}`,
      store,
      record,
      service: "docket",
      zone: zones[index % zones.length],
      workMs: 144,
      born: Date.now(),
    });
    server.workMsOf = (path) => {
      if (path === "/read/short") {
        return 10;
      }
      return path === "/read/long" ? LONG_REQUEST_MS : undefined;
    };
    server.sendsExtra = (id) => {
      const isSpoiled = performance.now() < garblesUntil &&
        id.startsWith("first-");
      answers += 1;
      spoiled += isSpoiled ? 1 : 0;
      return isSpoiled;
    };
    await server.start();
    servers.push(server);
    defer(() => server.stop());
  }
  const deployment = new Deployment({ store, record, zones: ZONES });
  await deployment.choosePorts();
  defer(() => deployment.stop());
  const [vm, otherVm] = zones.map((zone, index) =>
    deployment.startVm(`front-${zone}-1`, index, zone)
  );
  for (const one of [vm, otherVm]) {
    await waitUntil(`${one.name} is ready`, () => deployment.isReady(one));
  }
  await sleep(4_500);

  const open = ({ ip: host }) =>
    new Connection({ host, port: deployment.ports.front });
  const objection = async (id) => {
    const connection = open(vm);
    record.write(`client sends ${id} to ${vm.name}`);
    const result = await within(
      DEADLINE_MS,
      connection.send(requestHead({
        method: "PUT",
        path: "/objection/7",
        id,
        deadlineMs: DEADLINE_MS,
        object: 7,
        lines: ["Content-Length: 0"],
      })),
    );
    connection.close();
    record.write(`client gets ${result?.status ?? result} for ${id}`);
    return result?.status;
  };
  const runsOf = (id) =>
    servers.flatMap((server) =>
      server.runs.some((run) => run.id === id) ? [server] : []
    );

  let isOver = false;
  const short = (async () => {
    const connection = open(otherVm);
    for (let count = 0; !isOver && !connection.isClosed; count++) {
      const id = `short-${count}`;
      await within(
        DEADLINE_MS,
        connection.send(
          requestHead({ path: "/read/short", id, object: count }),
        ),
      );
      await sleep(SHORT_INTERVAL_MS);
    }
    connection.close();
  })();

  const broken = [];
  for (let round = 0; round < ROUNDS; round++) {
    garblesUntil = performance.now() + (hasTrouble ? GARBLE_MS : -1);
    await objection(`first-${round}`);
    const [home] = runsOf(`first-${round}`);
    if (home === undefined) {
      continue;
    }
    await sleep(BUSY_AFTER_MS);
    home.isHealthFalse = hasTrouble;
    const trueAgain = setTimeout(
      () => home.isHealthFalse = false,
      FALSE_HEALTH_MS,
    );
    let isBusy = true;
    const long = Array.from({ length: LONG_CLIENTS }, async (_, index) => {
      await sleep(index * 25);
      const connection = open(otherVm);
      for (let count = 0; isBusy && !connection.isClosed; count++) {
        const id = `long-${round}-${index}-${count}`;
        await within(
          DEADLINE_MS,
          connection.send(
            requestHead({ path: "/read/long", id, object: index }),
          ),
        );
      }
      connection.close();
    });
    const before = home.extrasSent;
    const until = performance.now() + CHECK_WITHIN_MS;
    while (home.extrasSent === before && performance.now() < until) {
      await sleep(5);
    }
    const id = `second-${round}`;
    const status = await objection(id);
    isBusy = false;
    await Promise.all(long);
    await sleep(500);
    clearTimeout(trueAgain);
    home.isHealthFalse = false;
    if (PROMISES.includes(status) && runsOf(id).length > 0) {
      broken.push(`REFUSED: ${id} was answered ${status} and has run`);
      await objection(`again-${round}`);
    }
  }
  isOver = true;
  await short;
  record.write(`${spoiled} of ${answers} answers were sent twice`);
  return broken;
});
