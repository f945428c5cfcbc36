import type { ChoiceReason, DispatchTicket, MemberIncarnation } from '@dandelionlane/routing';
import type ReplicaSlot from '../targets/ReplicaSlot.js';

/** One send of a request to a replica. */
export default interface Attempt {
  readonly slot: ReplicaSlot;
  /** Why the replica was chosen. */
  readonly reason: ChoiceReason;
  readonly ticket: DispatchTicket;
  /** The members' process starts that the send rests on. */
  readonly incarnations: readonly MemberIncarnation[];
  readonly sentAtMilliseconds: number;
}
