import Liveness from '../messages/Liveness.js';
import type MemberUpdate from '../messages/MemberUpdate.js';

/** Position of a liveness in the order of claims. */
function rank(liveness: Liveness): number {
  return Liveness.options.indexOf(liveness);
}

/** Whether `update` makes the stronger claim about liveness, within one incarnation. */
function isStronger(current: MemberUpdate, update: MemberUpdate): boolean {
  if (update.refutation !== current.refutation) {
    return update.refutation > current.refutation;
  }
  return rank(update.liveness) > rank(current.liveness);
}

/**
 * Joins two claims about one entry. Commutative, associative and idempotent, so that
 * lost, repeated and reordered messages lead every member to the same view. Returns
 * `current` itself when the update says nothing new.
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
