import type { Replica, VMId } from '@dandelionlane/core';

/** The VMs of replicas that load, drain or stop, which are polled in every round. */
export default function listChangingVMs(replicas: readonly Replica[]): ReadonlySet<VMId> {
  return new Set(replicas
    .filter(({ state }) => state !== 'serving')
    .flatMap(({ members }) => members.map(({ vm }) => vm)));
}
