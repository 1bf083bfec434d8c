/** Types of undici's client module, which ships without its own. */
declare module "undici/lib/dispatcher/client.js" {
  import type { Client } from "undici";
  const client: typeof Client;
  export default client;
}

declare module "undici/lib/core/symbols.js" {
  const symbols: { readonly kParser: unique symbol };
  export default symbols;
}
