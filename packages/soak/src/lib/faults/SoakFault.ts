import type { LinkState } from '@dandelionlane/standin';
import type StoreFault from '../store/StoreFault.js';
import type AnswerFault from '../workers/AnswerFault.js';

/** Something that goes wrong from outside the processes. Indexes are of entries or of workers. */
type SoakFault = | { readonly kind: 'entry-killed'; readonly entry: number }
  | { readonly kind: 'entry-paused'; readonly entry: number }
  | { readonly kind: 'entry-terminated'; readonly entry: number }
  /** It is stopped as planned, with its link to the store in a state from before until it is gone. */
  | { readonly kind: 'entry-stopped'; readonly entry: number; readonly storeLink: LinkState }
  | { readonly kind: 'all-entries-killed' }
  | { readonly kind: 'store-fails'; readonly fault: StoreFault }
  | { readonly kind: 'store-forgets' }
  /** It returns from a copy that is as old as the fault lasts. */
  | { readonly kind: 'store-restored' }
  | { readonly kind: 'store-link'; readonly entry: number; readonly state: LinkState }
  | { readonly kind: 'caller-link'; readonly entry: number; readonly state: LinkState }
  | { readonly kind: 'worker-link'; readonly worker: number; readonly state: LinkState }
  /** Sound workers fall silent and go on; their connections live on and nothing is lost. */
  | { readonly kind: 'workers-silent'; readonly workers: readonly number[] }
  /** Entries lose their paths to all workers, which others still reach. */
  | { readonly kind: 'paths-cut'; readonly entries: readonly number[]; readonly state: LinkState }
  /** The entry that holds the lease loses the store. */
  | { readonly kind: 'holder-cut' }
  /** An entry that has not held the lease is killed, and starts again after a while. */
  | { readonly kind: 'follower-killed' }
  /** Several workers answer badly at once. */
  | {
    readonly kind: 'workers-answer'; readonly workers: readonly number[]; readonly fault: AnswerFault;
  }
  | { readonly kind: 'worker-crashes'; readonly worker: number }
  /** It ends. Its address then takes connections and leaves them without an answer, or closes them. */
  | { readonly kind: 'worker-vanishes'; readonly worker: number; readonly address: 'mute' | 'closing' }
  | { readonly kind: 'worker-leaves'; readonly worker: number }
  | { readonly kind: 'worker-answers'; readonly worker: number; readonly fault: AnswerFault }
  | { readonly kind: 'configuration-changes' };

export default SoakFault;
