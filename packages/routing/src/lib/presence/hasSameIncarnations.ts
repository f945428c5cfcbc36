import type MemberIncarnation from './MemberIncarnation.js';

/** Whether two assessments of a replica are based on the same members and incarnations, in any order. */
export default function hasSameIncarnations(
  before: readonly MemberIncarnation[],
  after: readonly MemberIncarnation[],
): boolean {
  return before.length === after.length && before.every((member) => (
    after.some(({ vm, incarnation }) => vm === member.vm && incarnation === member.incarnation)
  ));
}
