import type { EntryId } from '@dandelionlane/core';

/** The probe under way. */
export default interface Probe {
  readonly target: EntryId;
  readonly number: number;
  readonly startedAtMilliseconds: number;
  readonly isIndirect: boolean;
}
