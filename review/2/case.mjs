/**
 * A VM is killed while it passes on a response without a length. See claim.txt.
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

/** The largest bundle of the site. */
const BUNDLE_BYTES = 540_000;
const PART_BYTES = 10_000;
const PART_MS = 30;
/** One response in twenty has no length. */
const FETCHES = 20;
const DEADLINE_MS = 4_800;

await Stage.run(
  dirname(fileURLToPath(import.meta.url)),
  async (stage, record) => {
    const routes = [
      {
        prefix: "/bundle/",
        route_type: "download",
        timeout_s: 4.5,
        target_latency_s: 0.8,
      },
    ];
    stage.store.put("op", "config", configuration(1, routes));
    for (let index = 1; index <= 8; index++) {
      await stage.addUpstream(`i-${index}`, async ({ id, path }, socket) => {
        const hasLength = path !== "/bundle/without-length";
        record.write(
          `upstream i-${index}: runs ${id}, ` +
            `sends ${BUNDLE_BYTES} bytes with${
              hasLength ? "" : "out"
            } a length`,
        );
        socket.write(
          successHead(id) +
            (hasLength
              ? `Content-Length: ${BUNDLE_BYTES}\r\n\r\n`
              : "Connection: close\r\n\r\n"),
        );
        for (let sent = 0; sent < BUNDLE_BYTES; sent += PART_BYTES) {
          if (socket.destroyed) {
            record.write(`upstream i-${index}: connection of ${id} is gone`);
            return;
          }
          socket.write("x".repeat(PART_BYTES));
          await sleep(hasLength ? 1 : PART_MS);
        }
        if (!hasLength) {
          socket.end();
        }
      });
    }
    await stage.startVms(2);
    const [vm] = stage.vms;
    let broken = 0;
    const judge = (id, answer, state) => {
      const bytes = answer?.bodyBytes ?? 0;
      const isComplete = answer?.isComplete ?? false;
      record.write(
        `client: ${id} gets ${
          answer?.status ?? "no answer"
        }, ${bytes} bytes, ` +
          `${
            isComplete ? "complete" : "not complete"
          } to an HTTP/1.1 client; ` +
          `connection ${state}`,
      );
      const isSuccess = answer?.status === 200 && isComplete;
      if (isSuccess && bytes !== BUNDLE_BYTES) {
        broken += 1;
        record.write(`BROKEN: ${id} is a success without the whole body`);
      }
    };
    for (let count = 1; count < FETCHES; count++) {
      const client = new ClientConnection(vm.host);
      const id = `fetch-${count}`;
      const path = `/bundle/${count}`;
      const answer = await client.ask({ path, id, deadlineMs: DEADLINE_MS });
      judge(id, answer, client.state);
      client.close();
    }
    const client = new ClientConnection(vm.host);
    const isUnderWay = new Promise((resolve) => {
      client.onProgress = (bytes) => bytes > BUNDLE_BYTES / 2 && resolve();
    });
    const id = `fetch-${FETCHES}`;
    const path = "/bundle/without-length";
    const asked = client.ask({ path, id, deadlineMs: DEADLINE_MS });
    await Promise.race([isUnderWay, asked]);
    if (hasTrouble) {
      record.write(`${vm.name} is killed`);
      vm.signal("SIGKILL");
    }
    await asked;
    await sleep(100);
    judge(id, client.answers()[0], client.state);
    return broken === 0;
  },
);
