import type {
  EngineOrder, Replica, ReplicaMember, ServiceDefinition, VMId, VMReport,
} from '@dandelionlane/core';
import type OrderTask from './OrderTask.js';

/** Input of `planOrders`. */
interface OrderInput {
  readonly replicas: readonly Replica[];
  readonly definitions: ReadonlyMap<string, ServiceDefinition>;
  /** Latest report of each VM; absent unless it is recent. */
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

function createTask(member: ReplicaMember, order: EngineOrder): OrderTask {
  return { vm: member.vm, address: member.address, order };
}

/**
 * Plans the orders that bring the VMs into the state of the rows, based on the VMs' own reports.
 * Orders are idempotent, so a lost one is planned again.
 */
export default function planOrders(input: OrderInput): readonly OrderTask[] {
  return input.replicas.flatMap((replica): readonly OrderTask[] => {
    switch (replica.state) {
      case 'loading': {
        const order = createLoadOrder(replica, input.definitions.get(replica.service));
        return replica.members
          .filter(({ vm }) => isLoadDue(replica, input.reports.get(vm)))
          .map((member) => createTask(member, order));
      }
      case 'stopping':
        return replica.members
          .filter(({ vm }) => isUnloadDue(replica, input.reports.get(vm)))
          .map((member) => createTask(member, {
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
