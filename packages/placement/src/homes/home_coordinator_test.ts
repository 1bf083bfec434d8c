import { beforeEach, describe, expect, test } from "vitest";
import type { VmId } from "@poplarthread/ids";
import { SERVICE } from "../testing.ts";
import type { HomeMessage } from "./messages.ts";
import { HomeFleet, homeTargets, vmsIn } from "./testing_homes.ts";

const VMS = vmsIn("north", 4);
const TARGETS = homeTargets("north", 12);
const OBJECTS = Array.from({ length: 24 }, (_, at) => `object-${at}`);
/** Time within which a VM that missed something has reported twice. */
const TWO_REPORTS_MS = 2_500;

let fleet: HomeFleet;

beforeEach(() => {
  fleet = new HomeFleet(VMS, TARGETS);
});

function ownerOf(vms = VMS): VmId {
  const owner = vms.find(({ vm }) =>
    (fleet.agents.get(vm)?.counts.assigned ?? 0) > 0
  );
  return owner!.vm;
}

function vmsBut(...without: VmId[]): typeof VMS {
  return VMS.filter(({ vm }) => !without.includes(vm));
}

/** Each VM's callers ask for each object twice a second. */
function serve(durationMs: number, vms = VMS): void {
  let tick = 0;
  fleet.run(durationMs, () => {
    tick += 1;
    vms.forEach(({ vm }, at) =>
      OBJECTS.filter((_, index) => (index + tick + at) % 5 === 0)
        .forEach((name) => fleet.request(vm, name))
    );
  });
}

function homesOn(vm: VmId): readonly (readonly number[])[] {
  return OBJECTS.map((name) => fleet.homesOf(vm, name));
}

function expectAgreement(vms = VMS): void {
  const [first, ...others] = vms.map(({ vm }) => homesOn(vm));
  expect(first!.every((homes) => homes.length > 0)).toBe(true);
  others.forEach((homes) => expect(homes).toEqual(first));
}

test("all VMs of a region use the same homes, also for objects that others asked for", () => {
  fleet.request(VMS[0]!.vm, "a");
  fleet.run(500);
  const [home] = fleet.homesOf(VMS[0]!.vm, "a");
  expect(home).toBeDefined();
  VMS.forEach(({ vm }) => expect(fleet.homesOf(vm, "a")).toEqual([home]));
});

test("a VM without peers assigns homes at once, without a message", () => {
  const [only] = VMS;
  fleet = new HomeFleet([only!], TARGETS);
  expect(fleet.request(only!.vm, "a")).toHaveLength(1);
  serve(3_000, [only!]);
  expect(fleet.sent).toBe(0);
  expectAgreement([only!]);
});

test("nothing is sent for services without homes by load", () => {
  fleet = new HomeFleet(VMS, []);
  serve(3_000);
  expect(fleet.sent).toBe(0);
  expect(homesOn(VMS[0]!.vm).flat()).toEqual([]);
});

describe("messages are lost", () => {
  const KINDS = ["query", "update", "report"] as const;

  // Guards against VMs that never learn what a lost message said.
  test.each(KINDS)(
    "VMs agree within two reports after each %s of a second was lost",
    (kind) => {
      serve(2_000);
      const owner = ownerOf();
      const other = vmsBut(owner)[0]!.vm;
      fleet.isLost = ({ message }) => message.kind === kind;
      OBJECTS.slice(0, 6).forEach((name) => fleet.requestAnother(owner, name));
      OBJECTS.slice(6, 9).forEach((name) => fleet.requestAnother(other, name));
      serve(1_000);
      fleet.isLost = () => false;
      serve(TWO_REPORTS_MS);
      expectAgreement();
      const extended = homesOn(owner).filter(({ length }) => length > 1);
      expect(extended.length).toBeGreaterThanOrEqual(6);
    },
  );

  // Guards against homes that are lost one at a time and never sent again.
  test("VMs agree soon after a third of all messages was lost for a while", () => {
    let sent = 0;
    fleet.isLost = () => sent++ % 3 === 0;
    serve(5_000);
    fleet.isLost = () => false;
    serve(TWO_REPORTS_MS);
    expectAgreement();
  });

  // Guards against load that is counted twice because a datagram came twice.
  test("a repeated report adds no load", () => {
    const [self] = VMS;
    fleet = new HomeFleet([self!], TARGETS);
    const agent = fleet.agents.get(self!.vm)!;
    const message: HomeMessage = {
      kind: "report",
      service: SERVICE,
      report: {
        number: 1,
        spanMs: 1_000,
        term: undefined,
        sequence: 0,
        namesEarlierHomes: false,
        objects: [{ object: 1, targets: [], requests: 4, workMs: 300 }],
        priorities: [],
        targets: [],
      },
    };
    for (let copy = 0; copy < 20; copy++) {
      agent.receive(message, VMS[1]!.vm, 10);
    }
    fleet.run(2_000);
    expect(agent.counts).toMatchObject({ assigned: 1, added: 0 });
  });
});

describe("the owner is lost", () => {
  // Guards against cold targets after a change of owners.
  test("homes stay as they were, and the next owner takes them over", () => {
    serve(3_000);
    const owner = ownerOf();
    const others = vmsBut(owner);
    const before = homesOn(others[0]!.vm);
    fleet.crash(owner);
    serve(1_000, others);
    expect(homesOn(others[0]!.vm)).toEqual(before);
    fleet.setVms(others);
    serve(4_000, others);
    expectAgreement(others);
    expect(homesOn(others[0]!.vm)).toEqual(before);
  });

  // Guards against requests that find no home until the lost owner is noticed.
  test("a new object's request goes on without an answer, and gets a home from the next owner", () => {
    serve(2_000);
    const owner = ownerOf();
    const others = vmsBut(owner);
    const { vm } = others[0]!;
    fleet.crash(owner);
    fleet.request(vm, "new");
    fleet.run(200);
    expect(fleet.answered).toContain(vm);
    expect(fleet.agents.get(vm)?.counts.unanswered).toBe(1);
    fleet.setVms(others);
    fleet.run(300, () => fleet.request(vm, "new"));
    expect(fleet.homesOf(vm, "new")).toHaveLength(1);
  });
});

describe("the owner is leaving", () => {
  // Guards against a second owner, whose summaries contradict those of the first.
  test("it follows the next owner and still learns of new homes", () => {
    serve(2_000);
    const leaving = ownerOf();
    const others = vmsBut(leaving);
    fleet.setVms(others);
    expect(fleet.agents.get(leaving)!.owned()).toEqual([]);
    serve(3_000, others);
    const { vm } = others[0]!;
    fleet.run(300, () => fleet.request(vm, "new"));
    fleet.run(300, () => fleet.request(leaving, "new"));
    expect(fleet.homesOf(leaving, "new")).toEqual(fleet.homesOf(vm, "new"));
    expectAgreement();
  });

  // Guards against requests without homes while all VMs of a region leave.
  test("it stays the owner if no other VM of its region is up", () => {
    const { agents } = fleet = new HomeFleet(VMS.slice(0, 1), TARGETS);
    const { vm } = VMS[0]!;
    fleet.setVms(vmsIn("south", 2));
    expect(agents.get(vm)!.owned()).toHaveLength(1);
    expect(fleet.homesOf(vm, "new")).toHaveLength(1);
  });
});

// Guards against homes that VMs of both sides use being lost when a cut heals.
test("after a cut the homes of both owners are merged", () => {
  const halves = [VMS.slice(0, 2), VMS.slice(2)];
  halves.forEach((half) => fleet.setVms(half, half));
  const sideOf = (vm: VmId) =>
    halves.findIndex((half) => half.some((other) => other.vm === vm));
  fleet.isLost = ({ from, to }) => sideOf(from) !== sideOf(to);
  // A target that only one side may use gives them different homes.
  const usable = [TARGETS.slice(1), TARGETS.slice(0, -1)];
  halves.forEach((half, side) =>
    half.forEach(({ vm }) =>
      fleet.agents.get(vm)!.setTargets(
        new Map([[SERVICE, usable[side]!]]),
        fleet.now,
      )
    )
  );
  serve(3_000);
  const before = halves.map((half) => homesOn(half[0]!.vm));
  fleet.isLost = () => false;
  fleet.setTargets(TARGETS);
  fleet.setVms(VMS);
  serve(TWO_REPORTS_MS);
  expectAgreement();
  homesOn(VMS[0]!.vm).forEach((homes, at) => {
    const known = [...before[0]![at]!, ...before[1]![at]!];
    expect(new Set(homes)).toEqual(new Set(known));
  });
  serve(20_000);
  expectAgreement();
  expect(homesOn(VMS[0]!.vm).every((homes) => homes.length === 1)).toBe(true);
});

// Guards against VMs that go on using a target that has lost its cache.
test("objects of a target that restarts under its id are assigned again on all VMs", () => {
  serve(3_000);
  const [restarted, ...others] = TARGETS;
  const isRestartedHome = (homes: readonly number[]) =>
    homes.includes(restarted!.hash);
  const { assigned } = fleet.agents.get(ownerOf())!.counts;
  const affected = homesOn(VMS[0]!.vm).filter(isRestartedHome).length;
  fleet.setTargets([{ ...restarted!, startedAt: 1 }, ...others]);
  serve(TWO_REPORTS_MS);
  expectAgreement();
  expect(affected).toBeGreaterThan(0);
  expect(fleet.agents.get(ownerOf())!.counts.assigned)
    .toBe(assigned + affected);
});

test("owners of different regions tell each other their load", () => {
  const vms = [...vmsIn("north", 2), ...vmsIn("south", 2)];
  fleet = new HomeFleet(vms, [
    ...homeTargets("north", 2),
    ...homeTargets("south", 18),
  ]);
  fleet.run(10_000, () =>
    vms.forEach(({ vm, region }, at) => {
      const name = `${region}-${(fleet.now / 100 + at) % 20}`;
      fleet.request(vm, name);
    }));
  const home = new Set(homeTargets("north", 2).map(({ hash }) => hash));
  const homes = Array.from(
    { length: 20 },
    (_, at) => fleet.homesOf(vms[0]!.vm, `north-${at}`)[0]!,
  );
  const atHome = homes.filter((hash) => home.has(hash)).length;
  // A tenth of the targets bears about a tenth of the work, that is 4 of 40 objects.
  expect(atHome).toBeGreaterThanOrEqual(3);
  expect(atHome).toBeLessThanOrEqual(8);
});

test("a region that is busier than the others uses their targets", () => {
  const vms = [...vmsIn("north", 2), ...vmsIn("south", 2)];
  const south = homeTargets("south", 6);
  fleet = new HomeFleet(vms, [...homeTargets("north", 6), ...south]);
  const others = new Set(south.map(({ hash }) => hash));
  const homesElsewhere = (count: number) =>
    OBJECTS.slice(0, count)
      .filter((name) => others.has(fleet.homesOf(vms[0]!.vm, name)[0]!));
  const request = (count: number) => () =>
    OBJECTS.slice(0, count).forEach((name) => fleet.request(vms[0]!.vm, name));
  fleet.run(4_000, request(6));
  expect(homesElsewhere(6)).toEqual([]);
  fleet.run(8_000, request(6));
  fleet.run(2_000, request(24));
  expect(homesElsewhere(24).length).toBeGreaterThanOrEqual(6);
});
