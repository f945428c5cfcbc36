import type { EntryRecord, ReleaseSequence } from '@dandelionlane/core';
import type Member from '../membership/Member.js';
import type ReleaseHead from '../messages/ReleaseHead.js';
import type PullSource from './PullSource.js';

/** Events that a `ReleaseDissemination` handles. A `tick` signals that time has passed. */
type ReleaseDisseminationEvent = | { readonly kind: 'tick' }
  /** The views of `Membership` changed. */
  | {
    readonly kind: 'members';
    readonly members: readonly Member[];
    readonly remoteEntries: readonly EntryRecord[];
  }
  /** A peer reported its release head. */
  | { readonly kind: 'peer-head'; readonly peer: EntryRecord; readonly head: ReleaseHead }
  /** A poll of the store returned its head. */
  | { readonly kind: 'store-head'; readonly sequence: ReleaseSequence }
  | { readonly kind: 'poll-failed' }
  /** This entry put the changes up to `sequence` in force, from any source. */
  | { readonly kind: 'in-force'; readonly sequence: ReleaseSequence }
  | { readonly kind: 'pull-failed'; readonly source: PullSource };

export default ReleaseDisseminationEvent;
