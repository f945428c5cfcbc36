import type { EntryRecord, ReleaseSequence } from '@dandelionlane/core';
import type Member from '../membership/Member.js';
import type ReleaseHead from '../messages/ReleaseHead.js';
import type PullSource from './PullSource.js';

/** What happens to a `ReleaseDissemination`. A `tick` tells that time passed. */
type ReleaseDisseminationEvent = | { readonly kind: 'tick' }
  /** The views of `Membership` changed. */
  | {
    readonly kind: 'members';
    readonly members: readonly Member[];
    readonly remoteEntries: readonly EntryRecord[];
  }
  /** A peer told its head. */
  | { readonly kind: 'peer-head'; readonly peer: EntryRecord; readonly head: ReleaseHead }
  /** A poll was answered. */
  | { readonly kind: 'store-head'; readonly sequence: ReleaseSequence }
  | { readonly kind: 'poll-failed' }
  /** This entry put changes up to `sequence` in force, whichever way they came. */
  | { readonly kind: 'in-force'; readonly sequence: ReleaseSequence }
  | { readonly kind: 'pull-failed'; readonly source: PullSource };

export default ReleaseDisseminationEvent;
