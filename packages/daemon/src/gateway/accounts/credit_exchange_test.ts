/**
 * Credit of accounts between VMs.
 *
 * @module
 */

import { createSocket } from "node:dgram";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import type { AccountId } from "@poplarthread/ids";
import { hashText, keepersOf } from "@poplarthread/placement";
import { nextPort, ownAddress } from "../../loopback.ts";
import { type Credit, CreditExchange } from "./credit_exchange.ts";
import { CreditLedger } from "./credit_ledger.ts";
import { memberNamed } from "../testing.ts";
import type { RankedMember } from "../vm_directory.ts";

const BOUND = { windowMs: 5_000, overage: 0.1, slack: 20 };
const ANNA = "anna" as AccountId;
const QUOTA = { perSecond: 20, burst: 20 };

/** VMs, each on an address of its own and all on one port. */
class Region {
  readonly vms: RankedMember[] = [];
  readonly tasks = new Map<string, CreditExchange>();
  /** VMs that are not heard any more. */
  readonly down = new Set<string>();
  quota: typeof QUOTA | undefined = QUOTA;
  /** Regions beside this one, all on one port. */
  others: readonly Region[] = [];
  readonly port: number;
  readonly #name: string;
  readonly #firstAddress: number;

  constructor(
    port: number,
    { name, firstAddress }: { name: string; firstAddress: number },
  ) {
    this.port = port;
    this.#name = name;
    this.#firstAddress = firstAddress;
  }

  async start(count: number): Promise<void> {
    for (let at = 0; at < count; at++) {
      const vm = `vm-${this.#name}-${at}`;
      const peerAddress = `${ownAddress(this.#firstAddress + at)}:1`;
      this.vms.push({
        ...memberNamed(vm, { peerAddress }),
        hash: hashText(vm),
      });
    }
    await Promise.all(this.vms.map((self) => this.#startOne(self)));
  }

  async stop(): Promise<void> {
    await Promise.all([...this.tasks.values()].map((task) => task.stop()));
  }

  /** The VMs that keep an account's credit, first the one that is asked first. */
  keepers(account: AccountId): readonly RankedMember[] {
    return keepersOf(account, this.#up());
  }

  ask(vm: RankedMember, account = ANNA): Promise<Credit> {
    return new Promise((resolve) =>
      this.tasks.get(vm.vm)!.request(account, resolve)
    );
  }

  /** A VM that keeps no credit of the account. */
  other(account: AccountId): RankedMember {
    const keepers = this.keepers(account);
    return this.#up().find((vm) => !keepers.includes(vm))!;
  }

  #up(): readonly RankedMember[] {
    return this.vms.filter(({ vm }) => !this.down.has(vm));
  }

  async #startOne(self: RankedMember): Promise<void> {
    const upInRegion = () => this.#up();
    const task = new CreditExchange({
      listen: { host: self.peerAddress.split(":")[0]!, port: this.port },
      self,
      ledger: new CreditLedger({
        self,
        bound: BOUND,
        regions: 1 + this.others.length,
        upInRegion,
        knownInRegion: () => this.vms.length,
        quotaOf: () => this.quota,
        short: (account, wanted) =>
          this.tasks.get(self.vm)!.borrow(account, wanted),
      }),
      upInRegion,
      otherRegions: () => this.others.map(({ vms }) => vms),
    });
    this.tasks.set(self.vm, task);
    await task.start({ failed: (_task, err) => expect.fail(String(err)) });
  }
}

let region: Region;

beforeEach(async () => {
  region = new Region(nextPort(), { name: "north", firstAddress: 90 });
  await region.start(4);
});

afterEach(() => region.stop());

/** Asks until credit is granted, for `ms` at most. */
async function granted(vm: RankedMember, ms: number): Promise<boolean> {
  const until = performance.now() + ms;
  while (performance.now() < until) {
    if ((await region.ask(vm)).kind === "granted") {
      return true;
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return false;
}

describe("a request", () => {
  test("gets credit from the VM that keeps it", async () => {
    expect(await granted(region.other(ANNA), 1_000)).toBe(true);
  });

  test("beyond the quota learns when there is credit again", async () => {
    const vm = region.other(ANNA);
    let credit = await region.ask(vm);
    while (credit.kind === "granted") {
      credit = await region.ask(vm);
    }
    expect(credit).toMatchObject({ kind: "used-up" });
    const { readyInMs } = credit as Extract<Credit, { kind: "used-up" }>;
    expect(readyInMs).toBeGreaterThan(0);
    expect(readyInMs).toBeLessThan(1_000);
  });

  test("has the credit that another of its account gave back, for a while", async () => {
    const vm = region.other(ANNA);
    expect(await granted(vm, 1_000)).toBe(true);
    // From now on the keepers grant nothing.
    region.quota = undefined;
    region.tasks.get(vm.vm)!.giveBack(ANNA);
    expect((await region.ask(vm)).kind).toBe("granted");
    expect((await region.ask(vm)).kind).toBe("unknown");
    region.tasks.get(vm.vm)!.giveBack(ANNA);
    await new Promise((resolve) => setTimeout(resolve, 600));
    expect((await region.ask(vm)).kind).toBe("unknown");
  });

  test("turns to the second keeper where the first does not answer", async () => {
    const [first] = region.keepers(ANNA);
    const vm = region.other(ANNA);
    await region.tasks.get(first!.vm)!.stop();
    expect(await granted(vm, 2_000)).toBe(true);
  });

  test("is not granted what nobody can vouch for", async () => {
    // A VM that is cut off from both keepers cannot know what others spend.
    const vm = region.other(ANNA);
    for (const keeper of region.keepers(ANNA)) {
      await region.tasks.get(keeper.vm)!.stop();
    }
    expect(await region.ask(vm)).toEqual({ kind: "unknown" });
  });
});

test("all VMs together grant no more than the quota, however many ask", async () => {
  let count = 0;
  const until = performance.now() + 1_500;
  await Promise.all(
    region.vms.flatMap((vm) =>
      Array.from({ length: 5 }, async () => {
        while (performance.now() < until) {
          const credit = await region.ask(vm);
          count += credit.kind === "granted" ? 1 : 0;
          await new Promise((resolve) => setTimeout(resolve, 5));
        }
      })
    ),
  );
  const allowed = (QUOTA.perSecond * 5 + QUOTA.burst) * 1.1 + 20;
  expect(count).toBeGreaterThan(10);
  expect(count).toBeLessThanOrEqual(allowed);
});

test("credit that one region does not need serves the callers of another", async () => {
  // All callers of an account stand in one region: with its own part alone, a third of
  // the quota, two thirds of what they may send would be refused.
  const port = nextPort();
  const regions = ["a", "b", "c"].map((name, at) =>
    new Region(port, { name, firstAddress: 110 + 10 * at })
  );
  regions.forEach((one) =>
    one.others = regions.filter((other) => other !== one)
  );
  await Promise.all(regions.map((one) => one.start(2)));
  try {
    const [busy] = regions;
    const until = performance.now() + 2_500;
    let count = 0;
    while (performance.now() < until) {
      const credit = await busy!.ask(busy!.vms[0]!);
      count += credit.kind === "granted" ? 1 : 0;
      await new Promise((resolve) => setTimeout(resolve, 4));
    }
    const part = (QUOTA.perSecond * 2.5 + QUOTA.burst) / 3;
    expect(count).toBeGreaterThan(part * 1.4);
    const allowed = (QUOTA.perSecond * 5 + QUOTA.burst) * 1.1 + 20;
    expect(count).toBeLessThanOrEqual(allowed);
  } finally {
    await Promise.all(regions.map((one) => one.stop()));
  }
});

test("a keeper that hears half of its region grants half as much", async () => {
  // Behind a cut each side finds keepers of its own. Each granting all, the account
  // would get its quota twice.
  const [first] = region.keepers(ANNA);
  const others = region.vms.filter((vm) => vm !== first);
  others.slice(0, 2).forEach(({ vm }) => region.down.add(vm));
  const whole = 20 * 1.1;
  let count = 0;
  const until = performance.now() + 1_500;
  while (performance.now() < until) {
    const credit = await region.ask(first!);
    count += credit.kind === "granted" ? 1 : 0;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(count).toBeLessThan(whole * 1.5 * 0.75);
});

test("what is no message of a VM is passed over", async () => {
  const vm = region.vms[0]!;
  const socket = createSocket("udp4");
  const [host] = vm.peerAddress.split(":");
  for (const text of ["", "{", "[]", '{"jsonrpc":"2.0","method":"credit"}']) {
    await new Promise((resolve) =>
      socket.send(text, region.port, host!, resolve)
    );
  }
  socket.close();
  expect(await granted(region.other(ANNA), 1_000)).toBe(true);
});
