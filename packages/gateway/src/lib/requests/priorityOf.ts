import clampPriority from '../admission/clampPriority.js';
import type Call from './Call.js';

/** Priority of a request: that of its team goes before that of its route. */
export default function priorityOf({ team, route }: Pick<Call, 'team' | 'route'>): number {
  return clampPriority(team?.priority ?? route.priority);
}
