import type Candidate from './Candidate.js';

/** A candidate with its estimated load: the number of requests that it has from all entries. */
export default interface LoadedCandidate {
  readonly candidate: Candidate;
  readonly load: number;
  /** Estimated prompt tokens that await prefill. */
  readonly unreadTokens: number;
}
