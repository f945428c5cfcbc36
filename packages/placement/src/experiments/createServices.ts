import type { ReleaseState } from '@dandelionlane/core';
import createRelease from '../test/createRelease.js';

/** Replica counts of the services, in turn. */
const REPLICA_COUNTS = [3, 1, 4, 2] as const;
const VMS_PER_REPLICA = 4;

/** A release of tiny model services with this many replicas of four VMs in all. */
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
