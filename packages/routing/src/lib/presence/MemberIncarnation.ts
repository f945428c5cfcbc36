import type { Incarnation, VMId } from '@dandelionlane/core';

/** A member and the incarnation of its process that an assessment is based on. */
export default interface MemberIncarnation {
  readonly vm: VMId;
  readonly incarnation: Incarnation;
}
