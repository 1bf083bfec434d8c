import { defineConfig } from "vitest/config";

/**
 * Tests that start real processes, from the build. One file at a time: each runs
 * a cluster, and the verdict must not depend on how busy the machine is.
 */
export default defineConfig({
  ssr: { resolve: { conditions: ["source", "node", "import", "default"] } },
  resolve: { conditions: ["source", "node", "import", "default"] },
  test: {
    include: [
      "packages/standins/src/process/**/*_test.ts",
      "platform/src/process/**/*_test.ts",
    ],
    server: { deps: { inline: [/@poplarthread\//] } },
    fileParallelism: false,
  },
});
