import type { ReplicaId } from '@dandelionlane/core';
import type PlacementCommand from './PlacementCommand.js';

/** Collects the commands of one plan. Invariant: at most one command changes a replica. */
export default class PlanDraft {
  readonly commands: PlacementCommand[] = [];

  readonly #changed = new Set<ReplicaId>();

  add(command: PlacementCommand): void {
    if ('replica' in command && command.kind !== 'unload') this.#changed.add(command.replica);
    this.commands.push(command);
  }

  hasChanged(replica: ReplicaId): boolean {
    return this.#changed.has(replica);
  }
}
