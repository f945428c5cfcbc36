import type Candidate from './Candidate.js';

/** A target with the requests of all entries that it is estimated to have. */
export default interface LoadedCandidate {
  readonly candidate: Candidate;
  readonly load: number;
  /** Prompt tokens that it may still have to read. */
  readonly unreadTokens: number;
}
