/**
 * Header lines that concern one connection only and are never passed on
 * (RFC 9110, section 7.6.1).
 *
 * @module
 */

/** Names that are always for one connection, in lower case. */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Drops from `lines` (name and value in turn) those that the `connection`
 * lines name. `connection` is their values, each after a comma.
 */
export function dropNamed(lines: string[], connection: string): string[] {
  if (
    connection === "" || connection === ",keep-alive" || connection === ",close"
  ) {
    return lines;
  }
  const named = new Set(
    connection.split(",").map((name) => name.trim().toLowerCase()),
  );
  const kept: string[] = [];
  for (let at = 0; at < lines.length; at += 2) {
    // A body without its length would be framed anew, and could be cut unseen.
    if (lines[at] === "content-length" || !named.has(lines[at]!)) {
      kept.push(lines[at]!, lines[at + 1]!);
    }
  }
  return kept;
}
