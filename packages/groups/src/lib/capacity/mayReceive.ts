import type ModelLoad from './ModelLoad.js';

/**
 * Whether a receiver may take groups of a donor: a more urgent one always, a less urgent one up to its
 * configured share, which earlier moves may have reduced.
 */
export default function mayReceive(receiver: ModelLoad, donor: ModelLoad): boolean {
  if (receiver.priority === null || donor.priority === null || receiver.priority === donor.priority) {
    return false;
  }
  return receiver.priority < donor.priority
    || (receiver.groups + 1) * receiver.groupSize <= receiver.configuredWorkers;
}
