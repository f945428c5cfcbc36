import type MemberUpdate from '../messages/MemberUpdate.js';
import type Member from './Member.js';
import type MemberRecord from './MemberRecord.js';
import type MemberState from './MemberState.js';

/** Public state of a member. A leaving member that is suspected stays `leaving`. */
function toState({ liveness, leaving }: MemberUpdate): MemberState {
  return leaving && liveness !== 'dead' ? 'leaving' : liveness;
}

/** Public form of a member. */
export default function toMember({ update, sequenceInForce }: MemberRecord): Member {
  return { entry: update.entry, state: toState(update), sequenceInForce };
}
