const NOT_CONNECTED_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'];

/** Whether a failed request never got a connection, so that nothing of it was sent. */
export default function isNotConnected(error: unknown): boolean {
  return error instanceof Error
    && 'code' in error
    && NOT_CONNECTED_CODES.includes(String(error.code));
}
