import type { Replica, VMId } from '@dandelionlane/core';

/** The VMs of replicas that load, drain or stop: their reports are needed in each round. */
export default function listChangingVMs(replicas: readonly Replica[]): ReadonlySet<VMId> {
  return new Set(replicas
    .filter(({ state }) => state !== 'serving')
    .flatMap(({ members }) => members.map(({ vm }) => vm)));
}
