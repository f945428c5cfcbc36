import type Log from './Log.js';

/** What a repeated piece of work calls with the reason of a round that failed: it logs it. */
export default function logRoundFailure(log: Log): (cause: unknown) => void {
  return (cause) => log.error('Round failed.', { detail: String(cause) });
}
