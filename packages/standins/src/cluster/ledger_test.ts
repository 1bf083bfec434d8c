import { expect, test } from "vitest";
import { Results } from "../caller/results.ts";
import { reconcile } from "./ledger.ts";

// Each side alone looks right: a target ran what it was sent, a caller was told
// something. Only both together show that a booking ran twice or a refusal lied.
test("what ran and what was said are held against each other", () => {
  const results = new Results();
  results.notRunAttempts.push("a/1", "a/2");
  results.servedKeys.push("k1", "k2");
  results.partialAnswers = 1;
  const first = { attempts: { "a/1": 1, "a/3/once": 1 }, keys: { k1: 1 } };
  const second = { attempts: { "a/3/once": 1, "a/4": 2 }, keys: { k1: 1 } };
  expect(reconcile([first, second], [results.report()])).toEqual({
    ranTwice: 2,
    falseNotRun: 1,
    partialAnswers: 1,
    wrongAnswers: 0,
    servedNotRun: 1,
  });
});
