import type ObservedWorker from '../observation/ObservedWorker.js';
import warmUpGroupOf from './warmUpGroupOf.js';

/** Whether a worker is in its warm-up group, which never opens, so it can join another group at any time. */
export default function isWarmingUp({ worker, report }: ObservedWorker): boolean {
  return report?.group?.name === warmUpGroupOf(worker.id);
}
