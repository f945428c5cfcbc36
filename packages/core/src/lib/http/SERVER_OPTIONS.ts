/**
 * Options of a server whose requests are small and have no body, as those of health checks: heads and
 * requests that do not end are closed after a while.
 */
const SERVER_OPTIONS = {
  maxHeaderSize: 16 * 1_024,
  /** Counts from the opening of a connection, which clients may do a while before their request. */
  headersTimeout: 15_000,
  requestTimeout: 15_000,
  keepAliveTimeout: 5_000,
  /**
   * Half of Node's default for `headersTimeout` would be 30 s, during which a head may go on beyond its
   * time.
   */
  connectionsCheckingInterval: 1_000,
} as const;

export default SERVER_OPTIONS;
