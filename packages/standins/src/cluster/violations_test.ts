import { expect, test } from "vitest";
import { Results } from "../caller/results.ts";
import { countViolations } from "./violations.ts";

// The records of one side alone look correct. Only targets and callers together show
// that a booking ran twice or that a request refused as not run did run.
test("violations are found by comparing runs of targets with results of callers", () => {
  const results = new Results();
  results.notRunAttempts.push("a/1", "a/2");
  results.servedKeys.push("k1", "k2");
  results.partialResponses = 1;
  const first = { attempts: { "a/1": 1, "a/3/once": 1 }, keys: { k1: 1 } };
  const second = { attempts: { "a/3/once": 1, "a/4": 2 }, keys: { k1: 1 } };
  expect(countViolations([first, second], [results.report()])).toEqual({
    ranTwice: 2,
    falseNotRun: 1,
    partialResponses: 1,
    wrongResponses: 0,
    servedNotRun: 1,
  });
});
