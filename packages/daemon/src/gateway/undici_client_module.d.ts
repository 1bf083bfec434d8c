/** Types of undici's client module, which ships without its own. */
declare module "undici/lib/dispatcher/client.js" {
  import type { Client } from "undici";
  const client: typeof Client;
  export default client;
}
