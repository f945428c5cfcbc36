import type { ServiceId } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';

/** Number of requests of all entries to each service. */
export default function sumRequests(statuses: readonly EntryStatus[]): FleetState['requests'] {
  const sums = new Map<ServiceId, number>();
  statuses.forEach(({ requests: counts }) => counts.forEach(({ service, requests }) => {
    sums.set(service, (sums.get(service) ?? 0) + requests);
  }));
  return [...sums].map(([service, requests]) => ({ service, requests }));
}
