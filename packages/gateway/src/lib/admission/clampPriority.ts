import LOWEST_PRIORITY from './LOWEST_PRIORITY.js';

/** The closest priority that exists; the least urgent one for a value that is not a number. */
export default function clampPriority(priority: number): number {
  return Number.isNaN(priority)
    ? LOWEST_PRIORITY : Math.min(LOWEST_PRIORITY, Math.max(0, Math.round(priority)));
}
