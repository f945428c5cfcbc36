import type Log from './Log.js';

/** Returns an error handler for a periodic task that logs the cause of each failed round. */
export default function logRoundFailure(log: Log): (cause: unknown) => void {
  return (cause) => log.error('Round failed.', { detail: String(cause) });
}
