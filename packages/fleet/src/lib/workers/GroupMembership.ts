import type { Epoch, GroupName } from '@dandelionlane/core';
import type GroupState from './GroupState.js';

/** The group that a worker belongs to. */
export default interface GroupMembership {
  readonly name: GroupName;
  readonly epoch: Epoch;
  /** Place in the list of members; the head has rank 0. */
  readonly rank: number;
  readonly state: GroupState;
}
