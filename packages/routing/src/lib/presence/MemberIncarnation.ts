import type { Incarnation, VMId } from '@dandelionlane/core';

/** The process start of one member that an assessment rests on. */
export default interface MemberIncarnation {
  readonly vm: VMId;
  readonly incarnation: Incarnation;
}
