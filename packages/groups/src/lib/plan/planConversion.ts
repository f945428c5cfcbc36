import type FleetObservation from '../observation/FleetObservation.js';
import findFaultyMembers from './findFaultyMembers.js';
import FreeWorkerPool from './FreeWorkerPool.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import planRetirement from './planRetirement.js';

/**
 * Plans the next steps of a group that is converted to another model. Its members load that model's weights
 * to their hosts while the group serves on. Once all have them, or when the group breaks, it is taken apart.
 */
export default function planConversion(
  record: GroupRecord,
  observation: FleetObservation,
): readonly GroupStep[] {
  const { convertsTo: model } = record;
  if (model === null) {
    return [];
  }
  const members = record.members.map((member) => observation.findInstance(member));
  const isStaging = findFaultyMembers(record, observation).length === 0 && members.some((member) => (
    member !== undefined && !FreeWorkerPool.isStaged(member, model)
      && member.report?.group?.name === record.name
  ));
  if (!isStaging) {
    return planRetirement(record, observation);
  }
  return members.flatMap((member): readonly GroupStep[] => (
    member === undefined || member.report === null || member.report.busy || member.hasPendingOrder
      || FreeWorkerPool.isStaged(member, model) ? [] : [{
        kind: 'order', worker: member.worker.id, order: { kind: 'stage', model }, loadsWeights: true,
      }]
  ));
}
