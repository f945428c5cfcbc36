import type Candidate from './Candidate.js';

/** Share of the slots that a target gets until samples agree with its configured speed. */
const UNCONFIRMED_SHARE = 1 / 3;

/**
 * Requests in flight that a target takes while it is new, or has been slow and was not measured since.
 * One that is measured as slow is limited by that.
 * @param holdsBack Whether enough other targets are known to be as fast as configured.
 */
export default function rampLimit({ slots, state }: Candidate, holdsBack: boolean): number {
  return holdsBack && !state.speed.isConfirmed ? Math.ceil(slots * UNCONFIRMED_SHARE) : slots;
}
