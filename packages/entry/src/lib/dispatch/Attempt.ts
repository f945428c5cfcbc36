import type { ChoiceReason, DispatchTicket, MemberIncarnation } from '@dandelionlane/routing';
import type ReplicaTarget from '../targets/ReplicaTarget.js';

/** One attempt of a request: a send to one replica. */
export default interface Attempt {
  readonly target: ReplicaTarget;
  /** Why the replica was chosen. */
  readonly reason: ChoiceReason;
  readonly ticket: DispatchTicket;
  /** Incarnations of the members when the request was sent. The answer is valid only for these. */
  readonly incarnations: readonly MemberIncarnation[];
  readonly sentAtMilliseconds: number;
}
