import type { EntryRecord, RandomSource } from '@dandelionlane/core';
import type MembershipSettings from './MembershipSettings.js';

/** What a `Membership` is made from. */
export default interface MembershipOptions {
  readonly self: EntryRecord;
  readonly random: RandomSource;
  readonly settings: MembershipSettings;
}
