/**
 * Finds the route of a request by its method and path prefix. Prefixes match
 * complete path segments, and the longest prefix wins.
 *
 * @module
 */

import type { Preset, PresetClass, PresetRoute } from "@poplarthread/config";

/** A route with the class it refers to. */
export interface CompiledRoute {
  readonly route: PresetRoute;
  readonly class: PresetClass;
  /** Path prefix without its trailing slash; empty for the root. */
  readonly prefix: string;
}

/** Result of a route look-up. */
export type RouteMatch =
  | { readonly kind: "found"; readonly route: CompiledRoute }
  | { readonly kind: "none" }
  /** The target could interpret the path as a different one. */
  | { readonly kind: "ambiguous"; readonly reason: string };

const NO_MATCH: RouteMatch = { kind: "none" };

/** The routes of one preset, indexed for look-up. */
export class RouteTable {
  readonly #byMethod = new Map<string, readonly (RouteMatch & Found)[]>();

  constructor(preset: Preset) {
    const classes = new Map(preset.classes.map((one) => [one.id, one]));
    const byMethod = new Map<string, (RouteMatch & Found)[]>();
    for (const route of preset.routes) {
      const found: RouteMatch & Found = {
        kind: "found",
        route: {
          route,
          class: classes.get(route.class)!,
          prefix: route.path.replace(/\/+$/, ""),
        },
      };
      for (const method of route.methods) {
        const routes = byMethod.get(method) ?? [];
        routes.push(found);
        byMethod.set(method, routes);
      }
    }
    for (const [method, routes] of byMethod) {
      routes.sort((a, b) => b.route.prefix.length - a.route.prefix.length);
      this.#byMethod.set(method, routes);
    }
  }

  /** Finds the route for `method` and `url` (path and query as the caller sent them). */
  find(method: string, url: string): RouteMatch {
    const routes = this.#byMethod.get(method);
    if (routes === undefined) {
      return NO_MATCH;
    }
    const query = url.indexOf("?");
    let path = query === -1 ? url : url.slice(0, query);
    if (NEEDS_NORMALIZING.test(path)) {
      const normalized = normalizePath(path);
      if (normalized === undefined) {
        return AMBIGUOUS;
      }
      path = normalized;
    }
    for (const found of routes) {
      const prefix = found.route.prefix;
      if (
        path.startsWith(prefix) &&
        (path.length === prefix.length || path[prefix.length] === "/")
      ) {
        return found;
      }
    }
    return NO_MATCH;
  }
}

interface Found {
  readonly kind: "found";
}

/** Escapes, empty segments, dot segments and backslashes, which targets may normalize. */
const NEEDS_NORMALIZING = /%|\/\/|\/\.|\\/;

const AMBIGUOUS: RouteMatch = {
  kind: "ambiguous",
  reason: "the path has dot segments or malformed percent-encoding",
};

/**
 * Normalizes the path as a target would. Otherwise a request for `/x/../orders`
 * or `/%6frders` would bypass the route that makes orders at-most-once, and a
 * retry could run an order twice. Returns undefined if the path has dot segments
 * or cannot be decoded.
 */
function normalizePath(path: string): string | undefined {
  let decoded: string;
  try {
    decoded = decodeURIComponent(path).replaceAll("\\", "/");
  } catch {
    return undefined;
  }
  const collapsed = decoded.replace(/\/{2,}/g, "/");
  return /\/\.\.?(\/|$)/.test(collapsed) ? undefined : collapsed;
}
