import type { EntryRecord } from '@dandelionlane/core';
import type Member from '../lib/membership/Member.js';
import type MembershipCommand from '../lib/membership/MembershipCommand.js';
import type MembershipEvent from '../lib/membership/MembershipEvent.js';

/** Common interface of `Membership` and its naive baseline. */
export default interface MembershipProcess {
  step(event: MembershipEvent, monotonicMilliseconds: number): readonly MembershipCommand[];
  members(): readonly Member[];
  remoteEntries(): readonly EntryRecord[];
}
