import NAMES from './NAMES.js';

/** Headers of a client's request. */
export default function createHeaders({ attempt, deadlineMilliseconds = 8_000, others = {} }) {
  return {
    host: NAMES.host,
    'dandelionlane-attempt-id': attempt,
    'dandelionlane-key': NAMES.key,
    'dandelionlane-deadline-ms': String(deadlineMilliseconds),
    ...others,
  };
}
