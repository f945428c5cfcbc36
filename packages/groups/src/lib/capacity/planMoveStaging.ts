import type ObservedWorker from '../observation/ObservedWorker.js';
import FreeWorkerPool from '../plan/FreeWorkerPool.js';
import type GroupStep from '../plan/GroupStep.js';
import countReservedSpares from '../plan/countReservedSpares.js';
import findFaultyMembers from '../plan/findFaultyMembers.js';
import LOAD_MILLISECONDS from './LOAD_MILLISECONDS.js';
import type MoveContext from './MoveContext.js';
import type MoveProgress from './MoveProgress.js';
import countReceiverMembers from './countReceiverMembers.js';
import isCompleteAndOpen from './isCompleteAndOpen.js';

/** Time after which staging is given up, in ms: loads wait for their turn and slow each other down. */
const STAGING_TIMEOUT_MILLISECONDS = 4 * LOAD_MILLISECONDS;

function planStage(observed: ObservedWorker, { move: { receiver } }: MoveContext): readonly GroupStep[] {
  return observed.hasPendingOrder || observed.report?.busy === true ? [] : [{
    kind: 'order', worker: observed.worker.id, order: { kind: 'stage', model: receiver }, loadsWeights: true,
  }];
}

/**
 * Plans loads of the receiver's weights onto the hosts of groups that go on serving. Closes the groups once
 * all hosts that the receiver's groups need have them, so that they serve no later than after a change of
 * model from the host.
 */
export default function planMoveStaging(context: MoveContext): MoveProgress {
  const {
    move, phaseMilliseconds, records, observation, pool, domainSizes, closedZones, canWrite, hasRoom, isShort,
  } = context;
  const current = new Map(records.map((record) => [record.name, record]));
  if (!canWrite) {
    return { kind: 'ended', outcome: 'store-unreachable' };
  }
  if (move.records.some((record) => findFaultyMembers(record, observation).length > 0)) {
    return { kind: 'ended', outcome: 'member-lost' };
  }
  if (!move.records.every((record) => current.get(record.name)?.epoch === record.epoch
    && isCompleteAndOpen(record, observation))) {
    return { kind: 'ended', outcome: 'group-changed' };
  }
  if (move.records.some(({ members }) => members.some(({ zone }) => closedZones.has(zone)))) {
    return { kind: 'ended', outcome: 'zone-closed' };
  }
  if (!hasRoom) {
    return { kind: 'ended', outcome: 'no-longer-wanted' };
  }
  if (phaseMilliseconds > STAGING_TIMEOUT_MILLISECONDS) {
    return { kind: 'ended', outcome: 'timed-out' };
  }
  const size = domainSizes.get(move.domain);
  if (size === undefined) {
    // A new worker of the domain has not answered yet.
    return { kind: 'going', phase: 'staging', steps: [] };
  }
  const members = move.records.flatMap((record) => record.members)
    .map((member) => observation.findInstance(member))
    .filter((observed) => observed !== undefined);
  const spares = Math.max(0, pool.countIn(move.domain) - countReservedSpares(size));
  const needed = countReceiverMembers(members.length, spares, move.receiverSize);
  const isStaged = (observed: ObservedWorker) => FreeWorkerPool.isStaged(observed, move.receiver);
  const staged = members.filter(isStaged);
  if (staged.length < needed) {
    const steps = members.filter((observed) => !isStaged(observed)).slice(0, needed - staged.length)
      .flatMap((observed) => planStage(observed, context));
    return { kind: 'going', phase: 'staging', steps };
  }
  return isShort
    ? { kind: 'going', phase: 'closing', steps: [] }
    : { kind: 'ended', outcome: 'no-longer-wanted' };
}
