import type { Epoch, GroupName } from '@dandelionlane/core';
import type GroupState from './GroupState.js';

/** Membership of a worker in a group. */
export default interface GroupMembership {
  readonly name: GroupName;
  readonly epoch: Epoch;
  /** Index in the list of members; the head has rank 0. */
  readonly rank: number;
  readonly state: GroupState;
}
