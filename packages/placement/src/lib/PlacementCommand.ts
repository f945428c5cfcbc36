import type { ReplicaId, ServiceId, VMId } from '@dandelionlane/core';
import type DrainReason from './DrainReason.js';
import type PlaceReason from './PlaceReason.js';
import type RebuildReason from './RebuildReason.js';
import type StopReason from './StopReason.js';

/**
 * One step of a plan. Within one plan no replica is named by two commands, and no
 * VM by two of `place` and `rebuild`, so the steps may be carried out in any order.
 */
type PlacementCommand = /** Create a replica in state `loading` on VMs that have no allocation. */ {
  readonly kind: 'place';
  readonly service: ServiceId;
  readonly version: string;
  readonly members: readonly VMId[];
  readonly reason: PlaceReason;
}
  /**
   * Create a replica of the same service and version in state `loading`. In the same
   * transaction the members move to it from `replica`, or from being free. The old
   * replica keeps its other members and goes to `stopping`; without any it is deleted.
   */
  | {
    readonly kind: 'rebuild';
    readonly replica: ReplicaId;
    readonly members: readonly VMId[];
    readonly reason: RebuildReason;
  }
  /** `loading` to `serving`. */
  | { readonly kind: 'serve'; readonly replica: ReplicaId; readonly reason: 'members-ready' }
  /** `serving` to `draining`. */
  | { readonly kind: 'drain'; readonly replica: ReplicaId; readonly reason: DrainReason }
  /** `draining` or `loading` to `stopping`. */
  | { readonly kind: 'stop'; readonly replica: ReplicaId; readonly reason: StopReason }
  /** Delete a `stopping` replica and the allocations of its members. */
  | { readonly kind: 'remove'; readonly replica: ReplicaId; readonly reason: 'members-stopped' }
  /** Order a VM to unload a replica that its allocation does not name. Changes no row. */
  | {
    readonly kind: 'unload';
    readonly vm: VMId;
    readonly replica: ReplicaId;
    readonly reason: 'load-without-allocation';
  };

export default PlacementCommand;
