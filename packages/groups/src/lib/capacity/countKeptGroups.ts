import type ModelLoad from './ModelLoad.js';
import countNeededGroups from './countNeededGroups.js';

/** Groups that a model keeps whatever its demand: with two lost or under repair, one still serves. */
const MINIMUM_KEPT_GROUPS = 3;

/** Number of groups that a model keeps while it gives groups to others. */
export default function countKeptGroups({ highestRequests }: ModelLoad, slots: number): number {
  return Math.max(MINIMUM_KEPT_GROUPS, countNeededGroups(highestRequests, slots));
}
