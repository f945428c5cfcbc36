import type { LinkState } from '@dandelionlane/standin';

/**
 * What a fault disturbs. `entry`: its process is killed or stands still. `caller-link`: the
 * link of callers to it is cut. `paths`: its paths to all workers are cut. `worker`: it ends.
 * `worker-link`: the link to it is cut.
 * `store`: it fails for all entries, or for one. `other`: no reason to lose a request, such as the store, a
 * configuration or a short silence of sound workers.
 */
type DisturbedPart = | { readonly kind: 'entry'; readonly entry: string }
  | { readonly kind: 'caller-link'; readonly entry: string }
  | { readonly kind: 'paths'; readonly entry: string; readonly state: LinkState }
  | { readonly kind: 'worker'; readonly worker: string }
  | { readonly kind: 'worker-link'; readonly worker: string }
  | { readonly kind: 'store' }
  | { readonly kind: 'other' };

export default DisturbedPart;
