import type { ReleaseState } from '@dandelionlane/core';
import createRelease from '../test/createRelease.js';

/** Replica counts that the services cycle through. */
const REPLICA_COUNTS = [3, 1, 4, 2] as const;
const VMS_PER_REPLICA = 4;

/** Creates a release of small model services with the given total of replicas, four VMs each. */
export default function createServices(replicas: number): ReleaseState {
  const services: { name: string; replicas: number; vms: number }[] = [];
  let left = replicas;
  while (left > 0) {
    const count = Math.min(left, REPLICA_COUNTS[services.length % REPLICA_COUNTS.length] ?? 1);
    const name = `service-${String(services.length).padStart(4, '0')}`;
    services.push({ name, replicas: count, vms: VMS_PER_REPLICA });
    left -= count;
  }
  return createRelease(services);
}
