import Liveness from '../messages/Liveness.js';
import type MemberUpdate from '../messages/MemberUpdate.js';

/** Precedence of a liveness among claims. */
function rank(liveness: Liveness): number {
  return Liveness.options.indexOf(liveness);
}

/** Whether `update` overrides the liveness in `current`, within one incarnation. */
function isStronger(current: MemberUpdate, update: MemberUpdate): boolean {
  if (update.refutation !== current.refutation) {
    return update.refutation > current.refutation;
  }
  return rank(update.liveness) > rank(current.liveness);
}

/**
 * Merges two claims about one entry. Commutative, associative and idempotent, so that views
 * converge even if messages are lost, repeated or reordered. Returns `current` itself when
 * the update adds nothing.
 */
export default function mergeUpdate(current: MemberUpdate, update: MemberUpdate): MemberUpdate {
  if (update.entry.incarnation !== current.entry.incarnation) {
    return update.entry.incarnation > current.entry.incarnation ? update : current;
  }
  const stronger = isStronger(current, update) ? update : current;
  const leaving = current.leaving || update.leaving;
  if (stronger === current && leaving === current.leaving) {
    return current;
  }
  return { ...stronger, leaving };
}
