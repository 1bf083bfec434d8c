/**
 * Finds the route of a request: method and path prefix by whole segments, the
 * longest prefix wins.
 *
 * @module
 */

import type { Preset, PresetClass, PresetRoute } from "@poplarthread/config";

/** A route with the class it refers to. */
export interface CompiledRoute {
  readonly route: PresetRoute;
  readonly class: PresetClass;
  /** Prefix without its closing slash; empty for the root. */
  readonly prefix: string;
}

/** What a path came to. */
export type RouteMatch =
  | { readonly kind: "found"; readonly route: CompiledRoute }
  | { readonly kind: "none" }
  /** The path could mean another one to the target. */
  | { readonly kind: "ambiguous"; readonly reason: string };

const NONE: RouteMatch = { kind: "none" };

/** The routes of one preset, ready for look-up. */
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

  /** The route of `method` and `url` (path and query as the caller sent them). */
  find(method: string, url: string): RouteMatch {
    const routes = this.#byMethod.get(method);
    if (routes === undefined) {
      return NONE;
    }
    const query = url.indexOf("?");
    let path = query === -1 ? url : url.slice(0, query);
    if (UNUSUAL.test(path)) {
      const plain = toPlainPath(path);
      if (plain === undefined) {
        return AMBIGUOUS;
      }
      path = plain;
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
    return NONE;
  }
}

interface Found {
  readonly kind: "found";
}

/** Escapes, empty segments, dot segments: a target may read these otherwise. */
const UNUSUAL = /%|\/\/|\/\.|\\/;

const AMBIGUOUS: RouteMatch = {
  kind: "ambiguous",
  reason: "the path has dot segments or broken escapes",
};

/**
 * The path as a target would read it. A caller that writes `/x/../orders`, or
 * `/%6frders`, would otherwise slip past the route that says an order runs at
 * most once, and a retry could run it twice. Undefined where the path has dot
 * segments or cannot be decoded.
 */
function toPlainPath(path: string): string | undefined {
  let decoded: string;
  try {
    decoded = decodeURIComponent(path).replaceAll("\\", "/");
  } catch {
    return undefined;
  }
  const collapsed = decoded.replace(/\/{2,}/g, "/");
  return /\/\.\.?(\/|$)/.test(collapsed) ? undefined : collapsed;
}
