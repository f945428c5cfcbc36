/** Headers of one connection (RFC 9110, section 7.6.1), and those that the server writes itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade',
]);

/** Headers of a target's answer that go to the caller. */
export default function removeHopByHopHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const named = String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim());
  const passed: Record<string, string | string[]> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value !== undefined && !CONNECTION_HEADERS.has(name) && !named.includes(name)) {
      passed[name] = value;
    }
  });
  return passed;
}
