/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that the server writes itself. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade',
]);

/** Returns the headers of a target's answer that are passed on to the caller. */
export default function removeHopByHopHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const connectionOptions = String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim());
  const forwarded: Record<string, string | string[]> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.includes(name)) {
      forwarded[name] = value;
    }
  });
  return forwarded;
}
