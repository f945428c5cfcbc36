import type { EntryRecord } from '@dandelionlane/core';
import type MembershipEvent from '../lib/membership/MembershipEvent.js';
import type MemberState from '../lib/membership/MemberState.js';

/** Recorded events of one `Membership` from its start, with the expected states of its members. */
export default interface RecordedTrace {
  readonly description: string;
  readonly self: EntryRecord;
  readonly seed: number;
  readonly events: readonly { readonly atMilliseconds: number; readonly event: MembershipEvent }[];
  readonly outcome: readonly {
    readonly afterMilliseconds: number;
    readonly states: readonly {
      readonly entry: string;
      readonly incarnation: number;
      readonly state: MemberState;
    }[];
  }[];
}
