import { Buffer } from "node:buffer";
import { id, type InstanceId } from "@poplarthread/ids";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type Ticket, TicketIssuer } from "./tickets.ts";

function issuer(instance: string, maxUsed = 100): TicketIssuer {
  return new TicketIssuer({
    instance: id<InstanceId>(instance),
    secret: Buffer.alloc(32, instance),
    lifetimeMs: 1_000,
    maxUsed,
  });
}

const ANSWER = { status: 201, headers: [], bodyBase64: "T0s=" };

describe("TicketIssuer", () => {
  // A caller with a ticket gets no response and retries, perhaps on another VM,
  // perhaps with a forged ticket or one issued to another caller.
  it("accepts its own ticket once, from the caller it was issued to", () => {
    const [a, b] = [issuer("a"), issuer("b")];
    const ticket = a.issue("ana", 0);
    const attempt = { ticket, scope: "ana", bodyDigest: "body" };
    expect(b.use(attempt, 1)).toEqual({ kind: "forward", instance: "a" });
    expect(a.use({ ...attempt, scope: "bo" }, 1).kind).toBe("forged");
    const later = ticket.replace("~0~", "~900~") as Ticket;
    expect(a.use({ ...attempt, ticket: later }, 1).kind).toBe("forged");
    expect(a.use(attempt, 1).kind).toBe("granted");
    a.end(ticket, { kind: "answered", answer: ANSWER });
    expect(a.use({ ...attempt, bodyDigest: "other" }, 2)).toEqual({
      kind: "used",
      bodyMatches: false,
      use: { kind: "answered", answer: ANSWER },
    });
  });

  it("never runs a ticket twice, in any order of attempts, outcomes and elapsed time", () => {
    const step = fc.record({
      kind: fc.constantFrom("use", "answer", "not-run", "wait"),
      ticket: fc.nat(3),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40, size: "max" }), (steps) => {
        const a = issuer("a", 2);
        const tickets = [0, 1, 2, 3].map((n) => a.issue("ana", n * 200));
        const ran = tickets.map(() => 0);
        let now = 600;
        for (const { kind, ticket: n } of steps) {
          const ticket = tickets[n]!;
          switch (kind) {
            case "use": {
              const attempt = { ticket, scope: "ana", bodyDigest: "body" };
              ran[n]! += a.use(attempt, now).kind === "granted" ? 1 : 0;
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
