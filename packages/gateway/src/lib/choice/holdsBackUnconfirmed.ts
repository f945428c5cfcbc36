import type Candidate from './Candidate.js';

/** Share of the targets that have to be confirmed before the others are held back. */
const CONFIRMED_SHARE = 0.5;

/**
 * Whether enough targets are known to be as fast as configured for the others to be held back. After a
 * start of this entry none is known, and all take their slots.
 */
export default function holdsBackUnconfirmed(candidates: readonly Candidate[]): boolean {
  const confirmed = candidates.filter(({ state }) => state.speed.isConfirmed).length;
  return confirmed >= candidates.length * CONFIRMED_SHARE;
}
