import type Liveness from './Liveness.js';
import MISSES_UNTIL_SILENT from './MISSES_UNTIL_SILENT.js';
import type ObservedWorker from './ObservedWorker.js';

/**
 * Silence after which a worker without a registration counts as gone, in ms. A registration expires
 * after three missed heartbeats, so the actual silence is longer.
 */
const GONE_SILENCE_MILLISECONDS = 1_500;

/** Assesses the liveness of a worker; `unknown` for one that is not observed. */
export default function assessLiveness(observed: ObservedWorker | undefined): Liveness {
  if (observed === undefined) {
    return 'unknown';
  }
  if (observed.hasEnded) {
    return 'gone';
  }
  if (observed.misses >= MISSES_UNTIL_SILENT) {
    return !observed.isRegistered && observed.silentMilliseconds >= GONE_SILENCE_MILLISECONDS ? 'gone' : 'silent';
  }
  if (observed.report === null) {
    return 'unknown';
  }
  return observed.isRegistered && !observed.worker.draining ? 'alive' : 'leaving';
}
