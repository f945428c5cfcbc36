import type LoadOrder from './LoadOrder.js';

/** Whether two orders ask for the same load, whatever their fencing numbers. */
export default function isSameLoad(left: LoadOrder, right: LoadOrder): boolean {
  return left.replica === right.replica
    && left.service === right.service
    && left.model === right.model
    && left.adapter === right.adapter
    && left.version === right.version
    && left.members.map(({ vm }) => vm).join(' ') === right.members.map(({ vm }) => vm).join(' ');
}
