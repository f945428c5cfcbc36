import type { EntryId } from '@dandelionlane/core';

/** A probe in flight. */
export default interface Probe {
  readonly target: EntryId;
  readonly number: number;
  readonly startedAtMilliseconds: number;
  readonly isIndirect: boolean;
}
