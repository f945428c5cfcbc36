import type { ReplicaId, ServiceId, VMId } from '@dandelionlane/core';
import type DrainReason from './DrainReason.js';
import type PlaceReason from './PlaceReason.js';
import type RebuildReason from './RebuildReason.js';
import type StopReason from './StopReason.js';

/** Create a replica in state `loading` on VMs that have no allocation. */
interface PlaceCommand {
  readonly kind: 'place';
  readonly service: ServiceId;
  readonly version: string;
  readonly members: readonly VMId[];
  readonly reason: PlaceReason;
}

/**
 * Create a replica of the same service, at `version`, in state `loading`. In the same
 * transaction the members move to it from `replica`, or from being free. The old replica
 * keeps its other members and goes to `stopping`; without any left it is deleted.
 */
interface RebuildCommand {
  readonly kind: 'rebuild';
  readonly replica: ReplicaId;
  readonly version: string;
  readonly members: readonly VMId[];
  readonly reason: RebuildReason;
}

/** `loading` to `serving`. */
interface ServeCommand {
  readonly kind: 'serve';
  readonly replica: ReplicaId;
  readonly reason: 'members-ready';
}

/** `serving` to `draining`. */
interface DrainCommand {
  readonly kind: 'drain';
  readonly replica: ReplicaId;
  readonly reason: DrainReason;
}

/** `draining` or `loading` to `stopping`. */
interface StopCommand {
  readonly kind: 'stop';
  readonly replica: ReplicaId;
  readonly reason: StopReason;
}

/** Take some members, known to have stopped, out of a `stopping` replica and delete their allocations. */
interface FreeCommand {
  readonly kind: 'free';
  readonly replica: ReplicaId;
  readonly members: readonly VMId[];
  readonly reason: 'members-stopped';
}

/** Delete a `stopping` replica and the allocations of its members. */
interface RemoveCommand {
  readonly kind: 'remove';
  readonly replica: ReplicaId;
  readonly reason: 'members-stopped';
}

/** Order a VM to unload a replica that its allocation does not name. Changes no row. */
interface UnloadCommand {
  readonly kind: 'unload';
  readonly vm: VMId;
  readonly replica: ReplicaId;
  readonly reason: 'load-without-allocation';
}

/**
 * One step of a plan. Within one plan no replica is changed by two commands, and no
 * VM is named by two of `place` and `rebuild`, so the steps may be taken in any order.
 */
type PlacementCommand = PlaceCommand
  | RebuildCommand
  | ServeCommand
  | DrainCommand
  | StopCommand
  | FreeCommand
  | RemoveCommand
  | UnloadCommand;

export default PlacementCommand;
