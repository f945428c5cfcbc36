import TARGET_UTILIZATION from '../plan/TARGET_UTILIZATION.js';

/**
 * Factor on the demand that a burst reaches: bursts of 1.8 to 2.6 times were measured. With the target
 * utilisation, a model needs 3.6 times the slots that its requests use.
 */
const BURST_FACTOR = 2.5;

/** Number of groups that a model needs so that a burst finds room. */
export default function countNeededGroups(requests: number, slots: number): number {
  return Math.ceil((requests * BURST_FACTOR) / (slots * TARGET_UTILIZATION));
}
