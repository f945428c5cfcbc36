import type { StatusDocument } from '@dandelionlane/core';
import formatOutOfService from './formatOutOfService.js';
import formatTable from './formatTable.js';

type Status = StatusDocument;

function formatEntries({ entries }: Status): string {
  return formatTable([['ENTRY', 'ZONE', 'STATE', 'IN FORCE'], ...entries.map((entry) => [
    entry.entry, entry.availabilityZone, entry.state, String(entry.sequenceInForce),
  ])]);
}

function formatServices({ services }: Status): string {
  return formatTable([['SERVICE', 'WANTED', 'SERVING'], ...services.map((service) => [
    service.service, String(service.replicasWanted), String(service.replicasServing),
  ])]);
}

/** Lists only replicas that are not serving; the JSON output contains all of them. */
function formatNonServingReplicas({ services }: Status): readonly string[] {
  const rows = services.flatMap(({ service, replicas }) => replicas
    .filter(({ state }) => state !== 'serving')
    .map(({
      replica, state, version, vms,
    }) => [service, replica, state, version, vms.join(',')]));
  return rows.length === 0 ? [] : [formatTable([['SERVICE', 'REPLICA', 'STATE', 'VERSION', 'VMS'], ...rows])];
}

/** Formats the status as human-readable text. */
export default function formatStatus(status: Status): string {
  const store = status.storeReachable ? 'reachable' : 'not reachable: no change can be accepted here';
  return [
    `change ${status.sequence}, table service ${store}`,
    formatOutOfService(status),
    formatEntries(status),
    formatServices(status),
    ...formatNonServingReplicas(status),
  ].join('\n');
}
