import type FleetObservation from '../observation/FleetObservation.js';
import type EpochSource from './EpochSource.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import MAXIMUM_FORMER_HEADS from './MAXIMUM_FORMER_HEADS.js';
import type MemberReference from './MemberReference.js';
import type FreeWorkerPool from './FreeWorkerPool.js';
import FINISH_TIMEOUT_MILLISECONDS from './FINISH_TIMEOUT_MILLISECONDS.js';
import findFaultyMembers from './findFaultyMembers.js';
import findStragglers from './findStragglers.js';
import findUnrecordedFormations from './findUnrecordedFormations.js';
import isMemberOf from './isMemberOf.js';
import toReference from './toReference.js';

/** Input of `planReformation`. */
interface ReformationInput {
  readonly record: GroupRecord;
  readonly observation: FleetObservation;
  readonly pool: FreeWorkerPool;
  readonly epochs: EpochSource;
}

function isBroken(record: GroupRecord, observation: FleetObservation): boolean {
  return record.members.some((member) => {
    const observed = observation.findInstance(member);
    return isMemberOf(record, observed) && observed?.report?.group?.state === 'broken';
  });
}

/** Whether a member that answers has not joined the formation. */
function isIncomplete(record: GroupRecord, observation: FleetObservation): boolean {
  return record.members.some((member) => {
    const observed = observation.findAnswering(member);
    return observed !== undefined && observed.report !== null && !isMemberOf(record, observed);
  });
}

/**
 * Closes a stalled group for which there are no replacements yet. Lost members that are merely silent may
 * go on, so that its running requests get time to finish.
 */
function planClose(
  record: GroupRecord,
  observation: FleetObservation,
  removed: readonly MemberReference[],
): readonly GroupStep[] {
  const [head] = record.members;
  const observed = head === undefined ? undefined : observation.findAnswering(head);
  const state = observed?.report?.group?.state;
  if (observed === undefined || observed.hasPendingOrder || !isMemberOf(record, observed)
    || (state !== 'open' && state !== 'closing')) {
    return [];
  }
  const mayGoOn = removed.every((member) => observation.livenessOf(member) !== 'gone')
    && (state === 'open' || observed.groupStateMilliseconds <= FINISH_TIMEOUT_MILLISECONDS);
  if (mayGoOn && state === 'closing') {
    return [];
  }
  return [{
    kind: 'order',
    worker: observed.worker.id,
    order: {
      kind: 'close', group: record.name, epoch: record.epoch, strategy: mayGoOn ? 'finish' : 'cut',
    },
    loadsWeights: false,
  }];
}

/** Number of spares in the domain of the record that have its weights. */
function countStagedSpares({ record, pool }: ReformationInput): number {
  return pool.countStagedIn(record.members[0]?.domain ?? null, record.model);
}

/**
 * Whether to keep the current formation for now: leaving members still serve for seconds, while
 * replacements without the weights would have to load them first.
 */
function shouldWaitForSpares(input: ReformationInput, faulty: readonly MemberReference[]): boolean {
  const { record, observation } = input;
  return faulty.every((member) => member !== record.members[0] && observation.livenessOf(member) === 'leaving')
    && countStagedSpares(input) < faulty.length;
}

function createFormation(
  {
    record, observation, pool, epochs,
  }: ReformationInput,
  removed: readonly MemberReference[],
  reason: string,
): readonly GroupStep[] {
  const survivors = record.members.filter((member) => !removed.includes(member));
  const [head] = record.members;
  const domain = (survivors[0] ?? head)?.domain ?? null;
  const stalled = removed.some((member) => observation.livenessOf(member) !== 'leaving'
    && observation.livenessOf(member) !== 'alive');
  const newcomers = pool.take(domain, record.model, record.members.length - survivors.length);
  if (newcomers === null || head === undefined) {
    return stalled ? planClose(record, observation, removed) : [];
  }
  return [{
    kind: 'write',
    record: {
      ...record,
      epoch: epochs.next(),
      members: [...survivors, ...newcomers.map(toReference)],
      formerHeads: [
        ...findUnrecordedFormations(record, observation),
        { epoch: record.epoch, head, stalled },
        ...record.formerHeads,
      ].slice(0, MAXIMUM_FORMER_HEADS),
    },
    reason,
  }];
}

/**
 * Plans a new formation of a group that lost members or cannot complete, if one is needed. The members
 * of a head that is silent but may be running cannot be moved until it is known to be gone.
 */
export default function planReformation(input: ReformationInput): readonly GroupStep[] {
  const { record, observation, epochs } = input;
  const faulty = findFaultyMembers(record, observation);
  const [head] = record.members;
  const headLiveness = head === undefined ? 'unknown' : observation.livenessOf(head);
  if (head === undefined || headLiveness === 'silent' || headLiveness === 'unknown') {
    return [];
  }
  if (faulty.length > 0) {
    return shouldWaitForSpares(input, faulty) ? [] : createFormation(input, faulty, 'members-lost');
  }
  if (findUnrecordedFormations(record, observation).length > 0) {
    return createFormation(input, [], 'formation-unrecorded');
  }
  if (epochs.isOfEarlierTerm(record.epoch) && isIncomplete(record, observation)) {
    // A member that has seen a later epoch never accepts the join, as it takes it for one of an old holder.
    return createFormation(input, [], 'formation-of-earlier-term');
  }
  if (isBroken(record, observation)) {
    return createFormation(input, [], 'group-broken');
  }
  const stragglers = findStragglers(record, observation);
  const isOpen = observation.findInstance(head)?.report?.group?.state === 'open';
  return isOpen && stragglers.length > 0 && stragglers.length <= countStagedSpares(input)
    ? createFormation(input, stragglers, 'stragglers')
    : [];
}
