import type { EntryRecord, RandomSource } from '@dandelionlane/core';
import type MembershipSettings from './MembershipSettings.js';

/** Options of a `Membership`. */
export default interface MembershipOptions {
  readonly self: EntryRecord;
  readonly random: RandomSource;
  readonly settings: MembershipSettings;
}
