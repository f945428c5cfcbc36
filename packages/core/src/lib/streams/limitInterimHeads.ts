import MAXIMUM_INTERIM_HEADS from './MAXIMUM_INTERIM_HEADS.js';
import combineSignals from './combineSignals.js';

/** Options of a request to a server that may send interim heads without an end. */
interface InterimHeadLimit {
  /** Aborted by the given signal, and by too many interim heads. */
  readonly signal: AbortSignal;
  /** To be called for each interim head. */
  readonly onInfo: () => void;
}

/** Limits the interim heads (1xx) that are read before an answer. */
export default function limitInterimHeads(signal: AbortSignal): InterimHeadLimit {
  const controller = new AbortController();
  let heads = 0;
  return {
    signal: combineSignals([signal, controller.signal]),
    onInfo: () => {
      heads += 1;
      if (heads > MAXIMUM_INTERIM_HEADS) {
        controller.abort(new Error('too many interim heads'));
      }
    },
  };
}
