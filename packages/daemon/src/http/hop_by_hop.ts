/**
 * Hop-by-hop headers: they concern a single connection and are never forwarded
 * (RFC 9110, section 7.6.1).
 *
 * @module
 */

/** Names of headers that are always hop-by-hop, in lower case. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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
 * Removes from `headers` (alternating names and values, names in lower case) those
 * that the `connection` headers name. `connection` holds the values of these headers,
 * each preceded by a comma.
 */
export function dropConnectionHeaders(
  headers: string[],
  connection: string,
): string[] {
  if (
    connection === "" || connection === ",keep-alive" || connection === ",close"
  ) {
    return headers;
  }
  const connectionOptions = new Set(
    connection.split(",").map((name) => name.trim().toLowerCase()),
  );
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    // Without its content-length the body would be framed anew, and a recipient could
    // not detect that it was truncated.
    if (
      headers[index] === "content-length" ||
      !connectionOptions.has(headers[index]!)
    ) {
      kept.push(headers[index]!, headers[index + 1]!);
    }
  }
  return kept;
}
