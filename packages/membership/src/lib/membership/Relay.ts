import type { EntryId, EntryRecord } from '@dandelionlane/core';

/** A probe sent on behalf of another member. */
export default interface Relay {
  readonly requester: EntryRecord;
  readonly requesterProbe: number;
  readonly target: EntryId;
  readonly startedAtMilliseconds: number;
}
