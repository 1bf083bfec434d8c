import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, beforeEach, expect, test } from "vitest";
import { run } from "./program.ts";

/** A VM's operator listener with canned answers, one queue per path. */
const answers = new Map<string, unknown[]>();
const asked: { path: string; body: string }[] = [];
const dir = mkdtempSync(join(tmpdir(), "poplarthread-cli-"));
let server: Server;
let url: string;

const status = {
  vm: "e1",
  instance: "e1-a",
  region: "zilina",
  zone: "zilina-1",
  ready: true,
  leaving: false,
  revision: 8,
  preset: { id: "ordinary", version: 3 },
  vms: [
    {
      vm: "e1",
      region: "zilina",
      zone: "zilina-1",
      state: "live",
      revision: 7,
      ageMs: 0,
    },
    {
      vm: "e2",
      region: "zilina",
      zone: "zilina-2",
      state: "live",
      revision: 7,
      ageMs: 400,
    },
    {
      vm: "e3",
      region: "kosice",
      zone: "kosice-1",
      state: "dead",
      revision: 5,
      ageMs: 90_000,
    },
  ],
  plan: {
    number: 4,
    planner: "e2",
    planning: false,
    allotments: [{ service: "portal", region: "zilina", slots: 9 }],
  },
  targets: [{
    target: "t1",
    service: "portal",
    region: "zilina",
    zone: "zilina-1",
    address: "127.0.0.1:1",
    state: "out",
    why: "leaving by its own word",
    inFlight: 1,
    slots: 3,
  }],
  outages: [{ subject: "table", forMs: 12_300, reason: "no answer" }],
  heldBack: [],
  tasks: [{
    task: "daemon/peers",
    state: "waiting",
    restarts: 2,
    lastError: "reset",
  }],
};

beforeAll(async () => {
  server = createServer(async (req, res) => {
    let body = "";
    for await (const chunk of req) {
      body += chunk;
    }
    asked.push({ path: req.url!, body });
    const queue = answers.get(req.url!) ?? [];
    const answer = queue.length > 1 ? queue.shift() : queue[0];
    res.statusCode = answer === undefined ? 404 : 200;
    res.end(JSON.stringify(answer ?? { message: "no such resource" }));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  writeFileSync(join(dir, "token"), "jana-token\n");
});

afterAll(() => {
  server.close();
  server.closeAllConnections();
  rmSync(dir, { recursive: true });
});

beforeEach(() => {
  answers.clear();
  asked.length = 0;
  answers.set("/v1/status", [status]);
});

async function poplarthread(...words: readonly string[]) {
  const lines: string[] = [];
  const code = await run({
    argv: [...words, "--token-file", join(dir, "token"), "--vm", url],
    env: {},
    terminal: {
      out: (line) => lines.push(line),
      err: (line) => lines.push(`! ${line}`),
    },
  });
  return { code, text: lines.join("\n") };
}

test("status shows VMs, targets, plan and trouble", async () => {
  const { code, text } = await poplarthread("status");
  expect(code).toBe(0);
  expect(text).toMatchInlineSnapshot(`
    "asked e1 in zilina-1: ready, revision 8, preset ordinary v3
    OUTAGE table for 12.3 s: no answer

    VM  ZONE      STATE  REVISION  HEARD
    e1  zilina-1  live   7         0.0 s
    e2  zilina-2  live   7         0.4 s
    e3  kosice-1  dead   5         90.0 s

    TARGET  SERVICE  ZONE      STATE  BUSY  WHY
    t1      portal   zilina-1  out    1/3   leaving by its own word

    plan 4 by e2
    SERVICE  REGION  SLOTS
    portal   zilina  9
    TASK daemon/peers: waiting, 2 restarts, reset"
  `);
});

// One VM does not get the change, say because it is cut off. The operator must
// not take the accepted change for one that is in force everywhere.
test("--wait names the VM that does not confirm and passes over a dead one", async () => {
  answers.set("/v1/changes", [{ kind: "accepted", revision: 8 }]);
  const { code, text } = await poplarthread(
    ...[
      "drain",
      "zone",
      "zilina-1",
      "--why",
      "works",
      "--wait",
      "--wait-ms",
      "1",
    ],
  );
  expect(code).toBe(5);
  expect(text).toMatch(/in force on 1 VMs\nnot confirmed after \d+ ms by: e2/);
});

// The table took a switch, but its answer was lost on the way. A second try
// under another operation id might switch twice; the same id finds the outcome.
test("an unknown outcome is asked for again under the same operation id", async () => {
  answers.set("/v1/changes", [
    { kind: "unknown", reason: "lost", retryAfterMs: 1 },
    { kind: "accepted", revision: 9 },
  ]);
  const { code, text } = await poplarthread(
    "preset",
    "switch",
    "peak",
    "--why",
    "premiere",
  );
  expect([code, text]).toEqual([0, "accepted as revision 9"]);
  const changes = asked.filter(({ path }) => path === "/v1/changes");
  expect(changes).toHaveLength(2);
  expect(changes[0]!.body).toBe(changes[1]!.body);
  expect(JSON.parse(changes[0]!.body)).toMatchObject({
    seenRevision: 8,
    why: "premiere",
  });
});

// A colleague switched a moment earlier. The command says who and what, and
// its exit code lets a script stop instead of trying blindly.
test("the loser of a race is told who won", async () => {
  const change = { kind: "switch", preset: "maintenance", version: 2 };
  const won = { who: "petra", why: "works tonight", change };
  answers.set("/v1/changes", [{ kind: "conflict", revision: 9, won }]);
  const { code, text } = await poplarthread(
    "preset",
    "switch",
    "peak",
    "--why",
    "w",
  );
  expect(code).toBe(3);
  expect(text).toMatchInlineSnapshot(
    `"not accepted: petra came first with "switch to maintenance v2" (works tonight); revision 9 is in force, look at it and try again"`,
  );
});

test("a file with findings is refused with their places, and nobody is asked", async () => {
  const file = join(dir, "preset.json");
  writeFileSync(file, '{\n  "id": "Peak",\n  "regiosn": []\n}');
  const { code, text } = await poplarthread("preset", "check", file);
  expect(code).toBe(2);
  expect(text.replaceAll(dir, "DIR")).toMatchInlineSnapshot(`
    "! DIR/preset.json:1:1: /about: missing; expected string
    ! DIR/preset.json:1:1: /regions: missing; expected array
    ! DIR/preset.json:1:1: /services: missing; expected array
    ! DIR/preset.json:1:1: /classes: missing; expected array
    ! DIR/preset.json:1:1: /routes: missing; expected array
    ! DIR/preset.json:1:1: /links: missing; expected array
    ! DIR/preset.json:1:1: /demand: missing; expected array
    ! DIR/preset.json:1:1: /shift: missing; expected object
    ! DIR/preset.json:1:1: /callerShare: missing; expected number
    ! DIR/preset.json:1:1: /retryShare: missing; expected number
    ! DIR/preset.json:1:1: /lookup: missing; expected object
    ! DIR/preset.json:2:9: /id: must be a name of lower case letters, digits and hyphens
    ! DIR/preset.json:3:14: /regiosn: unknown field
    ! Cannot accept the preset: 13 findings"
  `);
  expect(asked).toEqual([]);
});

test("a change without a reason is refused before it is sent", async () => {
  const { code } = await poplarthread("undrain", "target", "t1");
  expect([code, asked]).toEqual([2, []]);
});

test("--json prints the answer and nothing else", async () => {
  const { text } = await poplarthread("status", "--json");
  expect(JSON.parse(text)).toEqual(status);
});
