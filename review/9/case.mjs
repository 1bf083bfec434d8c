/**
 * The operator takes away the keys of the last tenants. See claim.txt.
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

const ZONES = { "za-a": "zilina", "ke-a": "kosice", "ba-a": "bratislava" };
const REVOKE_MS = 5_000;
const CONTACT_MS = 4_000;
const DEADLINE_MS = 2_500;
const REQUESTS = 12;
const KEYS = { anna: "key-anna-1", boris: "key-boris-1" };
const NEVER_HELD = "key-never-held";

const dir = dirname(fileURLToPath(import.meta.url));

await runCase(dir, async ({ record, defer }) => {
  const store = new Store();
  await store.start();
  defer(() => store.stop());
  const routes = [
    { name: "read", prefix: "/read/", route_type: "safe", public: false },
    { name: "order", prefix: "/order/", route_type: "unsafe", public: false },
  ];
  const put = (version, tenants) => {
    store.put("op", "config", configuration(version, routes, { tenants }));
    record.write(
      `store acknowledges version ${version}, tenants: ` +
        JSON.stringify(tenants.map(({ name }) => name)),
    );
  };
  const tenant = (name) => ({
    name,
    api_keys: [KEYS[name]],
    priority: 1,
    rate_per_s: 0,
    burst: 0,
    allowed_regions: [],
  });
  put(1, Object.keys(KEYS).map(tenant));
  const zones = Object.keys(ZONES);
  const servers = [];
  for (let index = 0; index < 6; index++) {
    const zone = zones[index % zones.length];
    const server = new Server({ id: `s-${index}`, store, record, zone });
    await server.start();
    servers.push(server);
    defer(() => server.stop());
  }
  const deployment = new Deployment({
    store,
    record,
    zones: ZONES,
    bounds: {
      strict_revoke: true,
      revoke_s: REVOKE_MS / 1_000,
      quota_window_s: 5,
      quota_overage: 0.1,
      quota_slack: 20,
    },
  });
  await deployment.choosePorts();
  defer(() => deployment.stop());
  const vms = zones.map((zone, index) =>
    deployment.startVm(`front-${zone}-1`, index, zone)
  );
  for (const vm of vms) {
    await waitUntil(`${vm.name} is ready`, () => deployment.isReady(vm));
  }
  await sleep(CONTACT_MS + 500);

  const send = async (id, key, index) => {
    const connection = new Connection({
      host: vms[index % vms.length].ip,
      port: deployment.ports.front,
    });
    const isOrder = index % 2 === 1;
    const result = await within(
      DEADLINE_MS,
      connection.send(requestHead({
        method: isOrder ? "POST" : "GET",
        path: isOrder ? "/order/1" : "/read/1",
        id,
        object: index,
        lines: [
          `Authorization: Bearer ${key}`,
          ...(isOrder ? ["Content-Length: 0"] : []),
        ],
      })),
    );
    connection.close();
    record.write(`client gets ${result?.status ?? result} for ${id} (${key})`);
  };
  for (let index = 0; index < REQUESTS; index++) {
    const keys = Object.values(KEYS);
    await send(`before-${index}`, keys[index % keys.length], index);
  }
  put(3, hasTrouble ? [tenant("boris")] : Object.keys(KEYS).map(tenant));
  await sleep(1_000);
  put(4, hasTrouble ? [] : Object.keys(KEYS).map(tenant));
  await sleep(REVOKE_MS + 500);
  const keys = [...Object.values(KEYS), NEVER_HELD];
  for (let index = 0; index < REQUESTS; index++) {
    await send(`after-${index}`, keys[index % keys.length], index);
  }
  await sleep(200);

  const broken = [];
  for (const { id: server, runs } of servers) {
    for (const { id, headers } of runs) {
      const index = Number(id.split("-")[1]);
      const key = keys[index % keys.length];
      if (id.startsWith("after-") && hasTrouble && key !== NEVER_HELD) {
        broken.push(`CONFIG: ${server} ran ${id} with the revoked ${key}`);
      }
      if (id.startsWith("after-") && key === NEVER_HELD) {
        broken.push(`ROUTE: ${server} ran ${id} with ${key}`);
      }
      if (headers.authorization !== undefined) {
        broken.push(`UNASKED: ${server} got the key of ${id}`);
      }
    }
  }
  return broken;
});
