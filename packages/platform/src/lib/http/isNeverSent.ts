const NEVER_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a failed request cannot have reached the server because no connection was established. */
export default function isNeverSent(cause: unknown): boolean {
  if (typeof cause !== 'object' || cause === null) {
    return false;
  }
  const { code } = cause as { code?: unknown };
  return typeof code === 'string' && NEVER_SENT_CODES.has(code);
}
