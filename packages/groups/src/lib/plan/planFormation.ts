import type FleetObservation from '../observation/FleetObservation.js';
import type ObservedWorker from '../observation/ObservedWorker.js';
import isMemberOf from './isMemberOf.js';
import mayJoin from './mayJoin.js';
import mayLeave from './mayLeave.js';
import planRelease from './planRelease.js';
import FreeWorkerPool from './FreeWorkerPool.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';

function planJoin(record: GroupRecord, observed: ObservedWorker): GroupStep {
  return {
    kind: 'order',
    worker: observed.worker.id,
    order: {
      kind: 'join',
      group: record.name,
      epoch: record.epoch,
      model: record.model,
      members: record.members.map(({ id }) => id),
    },
    loadsWeights: !FreeWorkerPool.isStaged(observed, record.model),
  };
}

/** Plans for a worker in an unrecorded formation to leave it before joining. */
function planLeave(
  record: GroupRecord,
  observed: ObservedWorker,
  observation: FleetObservation,
): readonly GroupStep[] {
  const group = observed.report?.group ?? null;
  const isRecorded = group !== null && group.name === record.name
    && record.formerHeads.some(({ epoch }) => epoch === group.epoch);
  return group !== null && !isRecorded && mayLeave(group, observed.worker.domain, observation)
    ? [{
      kind: 'order',
      worker: observed.worker.id,
      order: { kind: 'leave', group: group.name, epoch: group.epoch },
      loadsWeights: false,
    }]
    : [];
}

function planHead(
  record: GroupRecord,
  head: ObservedWorker,
  observation: FleetObservation,
): readonly GroupStep[] {
  if (isMemberOf(record, head)) {
    const members = record.members.map((member) => observation.findAnswering(member));
    const allReady = members.every((member) => isMemberOf(record, member)
      && member?.report?.group?.state === 'ready');
    return allReady && !head.isOpening
      ? [{
        kind: 'order',
        worker: head.worker.id,
        order: { kind: 'open', group: record.name, epoch: record.epoch },
        loadsWeights: false,
      }]
      : [];
  }
  if (mayJoin(record, head, observation)) {
    return [planJoin(record, head)];
  }
  const former = record.formerHeads.find(({ head: { id }, epoch }) => (
    id === head.worker.id && epoch === head.report?.group?.epoch
  ));
  return former === undefined
    ? planLeave(record, head, observation)
    : planRelease(record, former, observation);
}

/**
 * Plans the next orders that complete a formation. The head joins first: once it is in the new
 * formation, the old one can never open again. Workers without a group may join at any time.
 */
export default function planFormation(
  record: GroupRecord,
  observation: FleetObservation,
): readonly GroupStep[] {
  const [headReference, ...others] = record.members;
  const head = headReference === undefined ? undefined : observation.findAnswering(headReference);
  const headSteps = head === undefined || head.hasPendingOrder || head.report === null
    ? [] : planHead(record, head, observation);
  const headHasJoined = isMemberOf(record, head);
  const memberSteps = others.flatMap((reference) => {
    const observed = observation.findAnswering(reference);
    const isWaiting = observed?.hasPendingOrder ?? true;
    if (observed === undefined || isWaiting || observed.report === null || isMemberOf(record, observed)) {
      return [];
    }
    if (observed.report.group === null || (headHasJoined && mayJoin(record, observed, observation))) {
      return [planJoin(record, observed)];
    }
    return planLeave(record, observed, observation);
  });
  return [...headSteps, ...memberSteps];
}
