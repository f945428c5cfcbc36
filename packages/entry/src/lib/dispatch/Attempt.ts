import type { ChoiceReason, DispatchTicket, MemberIncarnation } from '@dandelionlane/routing';
import type ReplicaTarget from '../targets/ReplicaTarget.js';

/** One send of a request to a replica. */
export default interface Attempt {
  readonly target: ReplicaTarget;
  /** Why the replica was chosen. */
  readonly reason: ChoiceReason;
  readonly ticket: DispatchTicket;
  /** The members' process starts that the send rests on. */
  readonly incarnations: readonly MemberIncarnation[];
  readonly sentAtMilliseconds: number;
}
