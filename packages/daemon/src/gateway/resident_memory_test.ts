import process from "node:process";
import { afterEach, expect, test, vi } from "vitest";
import type { EventLog } from "./events.ts";
import { ResidentMemory } from "./resident_memory.ts";

afterEach(() => {
  vi.restoreAllMocks();
});

// Where the system does not tell a process its size, the VM could not start.
test("is estimated where the resident size cannot be read", () => {
  vi.spyOn(process.memoryUsage, "rss").mockImplementation(() => {
    throw new Error("no such file");
  });
  const write = vi.fn();
  const memory = new ResidentMemory({ write } as unknown as EventLog);
  expect(memory.read()).toBeGreaterThan(0);
  expect(write).toHaveBeenCalledWith("memory not read", {
    reason: "no such file",
  });
});
