import { Buffer } from "node:buffer";
import { id, type InstanceId } from "@poplarthread/ids";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type Ticket, TicketOffice } from "./tickets.ts";

function office(instance: string, maxUsed = 100): TicketOffice {
  return new TicketOffice({
    instance: id<InstanceId>(instance),
    secret: Buffer.alloc(32, instance),
    lifetimeMs: 1_000,
    maxUsed,
  });
}

const ANSWER = { status: 201, headers: [], bodyBase64: "T0s=" };

describe("TicketOffice", () => {
  // A caller that holds a ticket hears nothing and sends again, perhaps to
  // another VM, perhaps with a ticket that it made up or took from another.
  it("honours its own ticket once, for the caller it was issued to", () => {
    const [a, b] = [office("a"), office("b")];
    const ticket = a.issue("ana", 0);
    const sending = { ticket, scope: "ana", bodyDigest: "body" };
    expect(b.use(sending, 1)).toEqual({ kind: "forward", instance: "a" });
    expect(a.use({ ...sending, scope: "bo" }, 1).kind).toBe("forged");
    const later = ticket.replace("~0~", "~900~") as Ticket;
    expect(a.use({ ...sending, ticket: later }, 1).kind).toBe("forged");
    expect(a.use(sending, 1).kind).toBe("granted");
    a.end(ticket, { kind: "answered", answer: ANSWER });
    expect(a.use({ ...sending, bodyDigest: "other" }, 2)).toEqual({
      kind: "used",
      bodyMatches: false,
      use: { kind: "answered", answer: ANSWER },
    });
  });

  it("never runs a ticket twice in any order of sendings, ends and time", () => {
    const step = fc.record({
      kind: fc.constantFrom("use", "answer", "not-run", "wait"),
      ticket: fc.nat(3),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40, size: "max" }), (steps) => {
        const a = office("a", 2);
        const tickets = [0, 1, 2, 3].map((n) => a.issue("ana", n * 200));
        const ran = tickets.map(() => 0);
        let now = 600;
        for (const { kind, ticket: n } of steps) {
          const ticket = tickets[n]!;
          switch (kind) {
            case "use": {
              const sending = { ticket, scope: "ana", bodyDigest: "body" };
              ran[n]! += a.use(sending, now).kind === "granted" ? 1 : 0;
              break;
            }
            case "answer":
              a.end(ticket, { kind: "answered", answer: ANSWER });
              break;
            case "not-run": {
              const before = a.size;
              a.end(ticket, { kind: "not-run" });
              ran[n]! -= before - a.size;
              break;
            }
            case "wait":
              now += 150;
          }
          expect(Math.max(...ran)).toBeLessThanOrEqual(1);
        }
      }),
      { seed: 8, numRuns: 300 },
    );
  });
});
