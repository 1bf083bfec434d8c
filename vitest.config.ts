import { defineConfig } from "vitest/config";

/** Tests run from the sources of every package, so that no build can be stale. */
export default defineConfig({
  ssr: { resolve: { conditions: ["source", "node", "import", "default"] } },
  resolve: { conditions: ["source", "node", "import", "default"] },
  test: {
    // No verdict hangs on time: a busy host only takes longer. What hangs still fails.
    testTimeout: 120_000,
    include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
    // These need a build and run one at a time: see vitest.process.config.ts.
    exclude: ["packages/standins/src/process/**", "platform/src/process/**"],
    server: { deps: { inline: [/@poplarthread\//] } },
  },
});
