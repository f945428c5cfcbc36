import type FleetObservation from '../observation/FleetObservation.js';
import type FormerHead from './FormerHead.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import FINISH_TIMEOUT_MILLISECONDS from './FINISH_TIMEOUT_MILLISECONDS.js';

/**
 * Plans the next order that releases a former head from its formation; none when it has left or does
 * not answer. The head of a stalled group leaves immediately, as its requests cannot finish.
 */
export default function planRelease(
  record: GroupRecord,
  former: FormerHead,
  observation: FleetObservation,
): readonly GroupStep[] {
  const observed = observation.findAnswering(former.head);
  const group = observed?.report?.group ?? null;
  if (observed === undefined || observed.hasPendingOrder || group === null
    || group.name !== record.name || group.epoch !== former.epoch) {
    return [];
  }
  const order = (step: 'finish' | 'leave'): readonly GroupStep[] => [{
    kind: 'order',
    worker: former.head.id,
    order: step === 'leave'
      ? { kind: 'leave', group: record.name, epoch: former.epoch }
      : {
        kind: 'close', group: record.name, epoch: former.epoch, strategy: 'finish',
      },
    loadsWeights: false,
  }];
  switch (group.state) {
    case 'open':
      return order(former.stalled ? 'leave' : 'finish');
    case 'closing':
      return former.stalled || observed.groupStateMilliseconds > FINISH_TIMEOUT_MILLISECONDS ? order('leave') : [];
    case 'joining':
    case 'ready':
    case 'broken':
      return order('leave');
    default:
      return group.state satisfies never;
  }
}
