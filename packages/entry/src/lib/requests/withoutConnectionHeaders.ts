import type { IncomingHttpHeaders } from 'node:http';

/** Connection-specific headers, which an intermediary does not forward (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'expect',
]);

/** Headers without those that are specific to one connection. */
export default function withoutConnectionHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const connectionOptions = String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim());
  return Object.fromEntries(Object.entries(headers).filter(([name]) => (
    !CONNECTION_HEADERS.has(name) && !connectionOptions.includes(name)
  )));
}
