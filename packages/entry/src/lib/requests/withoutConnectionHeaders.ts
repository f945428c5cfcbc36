import type { IncomingHttpHeaders } from 'node:http';

/** Headers of one connection, which an intermediary does not pass on (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'expect',
]);

/** Headers without those that an intermediary does not pass on. */
export default function withoutConnectionHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const connectionOptions = String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim());
  return Object.fromEntries(Object.entries(headers).filter(([name]) => (
    !CONNECTION_HEADERS.has(name) && !connectionOptions.includes(name)
  )));
}
