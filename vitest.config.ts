import { defineConfig } from "vitest/config";

/** Tests run from the sources of every package, so that no build can be stale. */
export default defineConfig({
  ssr: { resolve: { conditions: ["source", "node", "import", "default"] } },
  resolve: { conditions: ["source", "node", "import", "default"] },
  test: {
    include: ["packages/*/src/**/*_test.ts"],
    server: { deps: { inline: [/@poplarthread\//] } },
  },
});
