import type MemberIncarnation from './MemberIncarnation.js';

/** A replica whose members have all been seen, recently, ready and on this replica. */
export default interface WholeReplica {
  readonly kind: 'whole';
  /** `warm` only if every member reports it. */
  readonly phase: 'cold' | 'warm';
  /** In the order of the replica's members. */
  readonly members: readonly MemberIncarnation[];
  /** Arrival of the oldest of the reports that the assessment rests on. */
  readonly receivedAtMilliseconds: number;
  /** From this time on the assessment is out of date. */
  readonly freshUntilMilliseconds: number;
}
