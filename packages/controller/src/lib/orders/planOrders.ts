import type {
  EngineOrder, Replica, ReplicaMember, ServiceDefinition, VMId, VMReport,
} from '@dandelionlane/core';
import type OrderTask from './OrderTask.js';

/** What `planOrders` reads. */
interface OrderInput {
  readonly replicas: readonly Replica[];
  readonly definitions: ReadonlyMap<string, ServiceDefinition>;
  /** Latest report of each VM; absent when none came lately. */
  readonly reports: ReadonlyMap<VMId, VMReport>;
}

function createLoadOrder(replica: Replica, definition: ServiceDefinition | undefined): EngineOrder {
  return {
    kind: 'load',
    fencing: replica.fencing,
    replica: replica.replica,
    service: replica.service,
    model: definition?.kind === 'model' ? definition.model : null,
    adapter: definition?.kind === 'model' ? definition.adapter ?? null : null,
    version: replica.version,
    members: replica.members.map(({ vm, address }) => ({ vm, address })),
  };
}

function isLoadDue(replica: Replica, report: VMReport | undefined): boolean {
  return report !== undefined && (report.replica !== replica.replica || report.fencing < replica.fencing);
}

function isUnloadDue(replica: Replica, report: VMReport | undefined): boolean {
  return report?.replica === replica.replica && report.phase !== 'stopping';
}

function taskFor(member: ReplicaMember, order: EngineOrder): OrderTask {
  return { vm: member.vm, address: member.address, order };
}

/**
 * The orders that bring the VMs to what the rows say, judged by the VMs' own reports.
 * Orders are idempotent, so one that got lost is simply planned again.
 */
export default function planOrders(input: OrderInput): readonly OrderTask[] {
  return input.replicas.flatMap((replica): readonly OrderTask[] => {
    switch (replica.state) {
      case 'loading': {
        const order = createLoadOrder(replica, input.definitions.get(replica.service));
        return replica.members
          .filter(({ vm }) => isLoadDue(replica, input.reports.get(vm)))
          .map((member) => taskFor(member, order));
      }
      case 'stopping':
        return replica.members
          .filter(({ vm }) => isUnloadDue(replica, input.reports.get(vm)))
          .map((member) => taskFor(member, {
            kind: 'unload', fencing: replica.fencing, replica: replica.replica,
          }));
      case 'serving':
      case 'draining':
        return [];
      default:
        return replica.state satisfies never;
    }
  });
}
