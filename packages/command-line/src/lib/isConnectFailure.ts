/** System calls that fail before a connection is established. */
const CONNECT_SYSTEM_CALLS: readonly unknown[] = ['connect', 'getaddrinfo'];

/**
 * Whether a request failed while connecting, before any byte was sent, so that it certainly
 * had no effect. An unrecognized error counts as a failure after sending.
 */
export default function isConnectFailure(error: unknown): boolean {
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isConnectFailure);
  }
  if (!(error instanceof Error)) {
    return false;
  }
  const { code, syscall } = error as NodeJS.ErrnoException;
  return code === 'UND_ERR_CONNECT_TIMEOUT' || CONNECT_SYSTEM_CALLS.includes(syscall);
}
