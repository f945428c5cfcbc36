import type Liveness from './Liveness.js';
import MISSES_UNTIL_SILENT from './MISSES_UNTIL_SILENT.js';
import type ObservedWorker from './ObservedWorker.js';

/**
 * Silence after which a worker without registration counts as ended, in ms. Its registration
 * ends after three missed heartbeats, so the silence has lasted longer than this already.
 */
const GONE_SILENCE_MILLISECONDS = 1_500;

/** Whether a worker can be counted on. A worker that is not known at all is `unknown`. */
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
