/**
 * Credit requests and loans between VMs.
 *
 * @module
 */

import { createSocket } from "node:dgram";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import type { AccountId } from "@poplarthread/ids";
import { creditOwners, hashText } from "@poplarthread/placement";
import { loopbackAddress, nextPort } from "../../loopback.ts";
import { CreditExchange, type CreditOutcome } from "./credit_exchange.ts";
import { CreditLedger } from "./credit_ledger.ts";
import { memberNamed } from "../testing.ts";
import type { RankedMember } from "../vm_directory.ts";

const BOUND = { windowMs: 5_000, overage: 0.1, slack: 20 };
const ANNA = "anna" as AccountId;
const QUOTA = { perSecond: 20, burst: 20 };

/** The VMs of a region; each has its own address, all share one port. */
class Region {
  readonly vms: RankedMember[] = [];
  readonly tasks = new Map<string, CreditExchange>();
  /** Names of VMs that no longer count as up. */
  readonly down = new Set<string>();
  quota: typeof QUOTA | undefined = QUOTA;
  /** The other regions, all on the same port. */
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
    for (let index = 0; index < count; index++) {
      const vm = `vm-${this.#name}-${index}`;
      const peerAddress = `${loopbackAddress(this.#firstAddress + index)}:1`;
      this.vms.push({
        ...memberNamed(vm, { peerAddress }),
        hash: hashText(vm),
      });
    }
    await Promise.all(this.vms.map((self) => this.#startVm(self)));
  }

  async stop(): Promise<void> {
    await Promise.all([...this.tasks.values()].map((task) => task.stop()));
  }

  /** The credit owners of an account, in the order in which they are asked. */
  owners(account: AccountId): readonly RankedMember[] {
    return creditOwners(account, this.#up());
  }

  request(vm: RankedMember, account = ANNA): Promise<CreditOutcome> {
    return new Promise((resolve) =>
      this.tasks.get(vm.vm)!.request(account, resolve)
    );
  }

  /** A VM that is not a credit owner of the account. */
  nonOwner(account: AccountId): RankedMember {
    const owners = this.owners(account);
    return this.#up().find((vm) => !owners.includes(vm))!;
  }

  #up(): readonly RankedMember[] {
    return this.vms.filter(({ vm }) => !this.down.has(vm));
  }

  async #startVm(self: RankedMember): Promise<void> {
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
        onShortage: (account, wanted) =>
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

afterEach(async () => {
  vi.useRealTimers();
  await region.stop();
});

/** Advances the faked clock after the datagrams sent before have arrived. */
async function advance(ms: number): Promise<void> {
  // One turn of the event loop each to send, to receive, to respond and to receive.
  for (let turn = 0; turn < 4; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await vi.advanceTimersByTimeAsync(ms);
}

/** Retries until credit is granted, for `timeoutMs` at most. */
async function isGranted(
  vm: RankedMember,
  timeoutMs: number,
): Promise<boolean> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if ((await region.request(vm)).kind === "granted") {
      return true;
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return false;
}

describe("a request", () => {
  test("gets credit from a credit owner", async () => {
    expect(await isGranted(region.nonOwner(ANNA), 1_000)).toBe(true);
  });

  test("beyond the quota is refused with the time until the next credit", async () => {
    const vm = region.nonOwner(ANNA);
    let credit = await region.request(vm);
    while (credit.kind === "granted") {
      credit = await region.request(vm);
    }
    expect(credit).toMatchObject({ kind: "used-up" });
    const { readyInMs } = credit as Extract<CreditOutcome, { kind: "used-up" }>;
    expect(readyInMs).toBeGreaterThan(0);
    expect(readyInMs).toBeLessThan(1_000);
  });

  test("uses credit that another request of its account refunded, until the refund expires", async () => {
    const vm = region.nonOwner(ANNA);
    expect(await isGranted(vm, 1_000)).toBe(true);
    // From now on no VM owns credit of the account, and none grants any.
    region.quota = undefined;
    region.tasks.get(vm.vm)!.refund(ANNA);
    expect((await region.request(vm)).kind).toBe("granted");
    expect((await region.request(vm)).kind).toBe("unknown");
    region.tasks.get(vm.vm)!.refund(ANNA);
    await new Promise((resolve) => setTimeout(resolve, 600));
    expect((await region.request(vm)).kind).toBe("unknown");
  });

  test("falls back to the second owner if the first does not respond", async () => {
    const [first] = region.owners(ANNA);
    const vm = region.nonOwner(ANNA);
    await region.tasks.get(first!.vm)!.stop();
    expect(await isGranted(vm, 2_000)).toBe(true);
  });

  test("is granted no credit while no owner can be reached", async () => {
    // A VM that is cut off from both owners cannot know what other VMs grant.
    const vm = region.nonOwner(ANNA);
    for (const owner of region.owners(ANNA)) {
      await region.tasks.get(owner.vm)!.stop();
    }
    expect(await region.request(vm)).toEqual({ kind: "unknown" });
  });

  test("does not wait for an exchange that has no port", async () => {
    const vm = region.nonOwner(ANNA);
    await region.tasks.get(vm.vm)!.stop();
    expect(await region.request(vm)).toEqual({ kind: "unknown" });
  });

  test("does not wait without end when the exchange is restarted", async () => {
    const vm = region.nonOwner(ANNA);
    for (const owner of region.owners(ANNA)) {
      await region.tasks.get(owner.vm)!.stop();
    }
    const credit = region.request(vm);
    await region.tasks.get(vm.vm)!.stop();
    await region.tasks.get(vm.vm)!.start({ failed: () => undefined });
    expect(await credit).toEqual({ kind: "unknown" });
  });
});

test("all VMs together grant no more than the quota under concurrent requests", async () => {
  let count = 0;
  const deadline = performance.now() + 1_500;
  await Promise.all(
    region.vms.flatMap((vm) =>
      Array.from({ length: 5 }, async () => {
        while (performance.now() < deadline) {
          const credit = await region.request(vm);
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

test("a region lends unused credit to a region whose callers need it", async () => {
  // All callers of an account are in one region. Without loans that region has only its
  // own share, a third of the quota, and would refuse two thirds of the allowed requests.
  // On a faked clock: a busy machine stalls the test, and credit beyond the maximum
  // balance is lost meanwhile.
  vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
  const port = nextPort();
  const regions = ["a", "b", "c"].map((name, index) =>
    new Region(port, { name, firstAddress: 110 + 10 * index })
  );
  regions.forEach((one) =>
    one.others = regions.filter((other) => other !== one)
  );
  await Promise.all(regions.map((one) => one.start(2)));
  try {
    const [busy] = regions;
    const deadline = performance.now() + 2_500;
    let count = 0;
    while (performance.now() < deadline) {
      const credit = await busy!.request(busy!.vms[0]!);
      count += credit.kind === "granted" ? 1 : 0;
      await advance(4);
    }
    const share = (QUOTA.perSecond * 2.5 + QUOTA.burst) / 3;
    expect(count).toBeGreaterThan(share * 1.4);
    const allowed = (QUOTA.perSecond * 5 + QUOTA.burst) * 1.1 + 20;
    expect(count).toBeLessThanOrEqual(allowed);
  } finally {
    await Promise.all(regions.map((one) => one.stop()));
  }
});

test("a credit owner that sees half of its region as up grants half as much", async () => {
  // In a network partition each side has its own credit owners. If each granted the full
  // share, the account would get its quota twice.
  const [first] = region.owners(ANNA);
  const others = region.vms.filter((vm) => vm !== first);
  others.slice(0, 2).forEach(({ vm }) => region.down.add(vm));
  const fullRate = 20 * 1.1;
  let count = 0;
  const deadline = performance.now() + 1_500;
  while (performance.now() < deadline) {
    const credit = await region.request(first!);
    count += credit.kind === "granted" ? 1 : 0;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(count).toBeLessThan(fullRate * 1.5 * 0.75);
});

test("malformed datagrams are ignored", async () => {
  const vm = region.vms[0]!;
  const socket = createSocket("udp4");
  const [host] = vm.peerAddress.split(":");
  for (const text of ["", "{", "[]", '{"jsonrpc":"2.0","method":"credit"}']) {
    await new Promise((resolve) =>
      socket.send(text, region.port, host!, resolve)
    );
  }
  socket.close();
  expect(await isGranted(region.nonOwner(ANNA), 1_000)).toBe(true);
});
