import type ObservedWorker from '../observation/ObservedWorker.js';
import warmUpGroupOf from './warmUpGroupOf.js';

/** Whether a worker is in its own warm-up group, which never opens: it can be given to any other at once. */
export default function isWarmingUp({ worker, report }: ObservedWorker): boolean {
  return report?.group?.name === warmUpGroupOf(worker.id);
}
