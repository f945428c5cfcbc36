/** System calls that fail before a connection stands. */
const CONNECTING_CALLS: readonly unknown[] = ['connect', 'getaddrinfo'];

/**
 * Whether a request failed before any byte of it was sent, so that it certainly took no
 * effect. An error that is not known to come from connecting counts as later.
 */
export default function isConnectFailure(error: unknown): boolean {
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isConnectFailure);
  }
  if (!(error instanceof Error)) {
    return false;
  }
  const { code, syscall } = error as NodeJS.ErrnoException;
  return code === 'UND_ERR_CONNECT_TIMEOUT' || CONNECTING_CALLS.includes(syscall);
}
