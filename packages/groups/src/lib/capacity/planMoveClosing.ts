import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from '../plan/GroupRecord.js';
import type GroupStep from '../plan/GroupStep.js';
import isMemberOf from '../plan/isMemberOf.js';
import isReleased from '../plan/isReleased.js';
import type MoveContext from './MoveContext.js';
import type MoveProgress from './MoveProgress.js';

/**
 * Time that a head gets to finish its running requests, in ms: longer than at a repair, as the donor has room
 * and nobody waits for these workers yet.
 */
const MOVE_FINISH_MILLISECONDS = 8_000;

/** Time after which closing is given up, in ms: the head, or a member that has to leave, does not answer. */
const CLOSING_TIMEOUT_MILLISECONDS = 15_000;

/** Whether the head of a group is known not to serve: it has closed or left it, or is gone. */
function isClosed(record: GroupRecord, observation: FleetObservation): boolean {
  const [head] = record.members;
  const liveness = head === undefined ? 'unknown' : observation.livenessOf(head);
  switch (liveness) {
    case 'gone':
      return true;
    case 'alive':
    case 'leaving': {
      const observed = head === undefined ? undefined : observation.findInstance(head);
      const group = observed?.report?.group ?? null;
      return observed !== undefined && observed.report !== null && !observed.hasPendingOrder
        && (!isMemberOf(record, observed) || (group?.state !== 'open' && group?.state !== 'closing'));
    }
    case 'silent':
    case 'unknown':
      return false;
    default:
      return liveness satisfies never;
  }
}

function planClose(record: GroupRecord, observation: FleetObservation): readonly GroupStep[] {
  const [head] = record.members;
  const observed = head === undefined ? undefined : observation.findAnswering(head);
  const isOverdue = observed !== undefined && observed.groupStateMilliseconds > MOVE_FINISH_MILLISECONDS;
  const isClosing = observed?.report?.group?.state === 'closing';
  return observed === undefined || observed.hasPendingOrder || (isClosing && !isOverdue) ? [] : [{
    kind: 'order',
    worker: observed.worker.id,
    order: {
      kind: 'close', group: record.name, epoch: record.epoch, strategy: isClosing ? 'cut' : 'finish',
    },
    loadsWeights: false,
  }];
}

function planRecord(record: GroupRecord, observation: FleetObservation): readonly GroupStep[] {
  if (!isClosed(record, observation)) {
    return planClose(record, observation);
  }
  return record.formerHeads.every((former) => isReleased(record, former, observation))
    ? [{ kind: 'delete', name: record.name, reason: 'moved' }] : [];
}

/**
 * Plans the end of the donor's groups: each is closed, which lets its requests finish, and its record is
 * deleted once its head is known not to serve. Members without a record leave as orphans, which keeps them
 * from joining another group before that.
 */
export default function planMoveClosing(context: MoveContext): MoveProgress {
  const {
    move, phaseMilliseconds, records, observation, canWrite,
  } = context;
  const names = new Set(move.records.map(({ name }) => name));
  const left = records.filter(({ name }) => names.has(name));
  if (left.length > 0 && !canWrite) {
    return { kind: 'ended', outcome: 'store-unreachable' };
  }
  if (left.some(({ name, epoch }) => !move.records.some((record) => (
    record.name === name && record.epoch === epoch)))) {
    return { kind: 'ended', outcome: 'group-changed' };
  }
  if (phaseMilliseconds > CLOSING_TIMEOUT_MILLISECONDS) {
    return { kind: 'ended', outcome: 'timed-out' };
  }
  const isInGroup = move.records.flatMap(({ members }) => members).some((member) => {
    const group = observation.findAnswering(member)?.report?.group ?? null;
    return group !== null && names.has(group.name);
  });
  return {
    kind: 'going',
    phase: left.length === 0 && !isInGroup ? 'forming' : 'closing',
    steps: left.flatMap((record) => planRecord(record, observation)),
  };
}
