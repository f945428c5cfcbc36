import type Candidate from './Candidate.js';

/** A target with the requests that it is estimated to have. */
export default interface LoadedCandidate {
  readonly candidate: Candidate;
  readonly load: number;
}
