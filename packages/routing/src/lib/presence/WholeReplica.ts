import type MemberIncarnation from './MemberIncarnation.js';

/** A replica whose members have all recently reported to be ready and on this replica. */
export default interface WholeReplica {
  readonly kind: 'whole';
  /** `warm` only if every member reports to be warm. */
  readonly phase: 'cold' | 'warm';
  /** In the order of the replica's members. */
  readonly members: readonly MemberIncarnation[];
  /** Arrival time of the oldest report that the assessment is based on. */
  readonly receivedAtMilliseconds: number;
  /** Monotonic time from which on the assessment is stale. */
  readonly freshUntilMilliseconds: number;
}
