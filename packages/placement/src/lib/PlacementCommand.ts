import type { ReplicaId, ServiceId, VMId } from '@dandelionlane/core';
import type DrainReason from './DrainReason.js';
import type PlaceReason from './PlaceReason.js';
import type RebuildReason from './RebuildReason.js';
import type StopReason from './StopReason.js';

/** Creates a replica in state `loading` on VMs that have no allocation. */
interface PlaceCommand {
  readonly kind: 'place';
  readonly service: ServiceId;
  readonly version: string;
  readonly members: readonly VMId[];
  readonly reason: PlaceReason;
}

/**
 * Creates a replica of the same service, at `version`, in state `loading`. Its members are free
 * VMs or move from `replica` in the same transaction. The old replica changes to `stopping` with
 * its remaining members, or is deleted if none remain.
 */
interface RebuildCommand {
  readonly kind: 'rebuild';
  readonly replica: ReplicaId;
  readonly version: string;
  readonly members: readonly VMId[];
  readonly reason: RebuildReason;
}

/** Changes a replica from `loading` to `serving`. */
interface ServeCommand {
  readonly kind: 'serve';
  readonly replica: ReplicaId;
  readonly reason: 'members-ready';
}

/** Changes a replica from `serving` to `draining`. */
interface DrainCommand {
  readonly kind: 'drain';
  readonly replica: ReplicaId;
  readonly reason: DrainReason;
}

/** Changes a replica from `draining` or `loading` to `stopping`. */
interface StopCommand {
  readonly kind: 'stop';
  readonly replica: ReplicaId;
  readonly reason: StopReason;
}

/** Removes members that are known to have stopped from a `stopping` replica, with their allocations. */
interface FreeCommand {
  readonly kind: 'free';
  readonly replica: ReplicaId;
  readonly members: readonly VMId[];
  readonly reason: 'members-stopped';
}

/** Deletes a `stopping` replica and the allocations of its members. */
interface RemoveCommand {
  readonly kind: 'remove';
  readonly replica: ReplicaId;
  readonly reason: 'members-stopped';
}

/** Orders a VM to unload a replica to which it is not allocated. Changes no row. */
interface UnloadCommand {
  readonly kind: 'unload';
  readonly vm: VMId;
  readonly replica: ReplicaId;
  readonly reason: 'load-without-allocation';
}

/**
 * One step of a plan. Within a plan at most one command changes a replica, and at most one
 * `place` or `rebuild` uses a VM, so the commands can be executed in any order.
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
