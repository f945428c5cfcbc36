import GUARANTEED_SHARE from '../admission/GUARANTEED_SHARE.js';
import type ModelTraffic from './ModelTraffic.js';

/** Inputs of `yieldToUrgent`. */
interface Competition {
  /** Free slots over all targets. */
  readonly free: number;
  /** Priority of the stream that asks; undefined where it does not compete by priority. */
  readonly priority: number | undefined;
  /** Traffic of the model at this entry and at all entries. */
  readonly own: ModelTraffic;
  readonly all: ModelTraffic;
}

/** Slots for which the streams like the one that asks compete, and their numbers here and in all. */
interface FairPart {
  readonly free: number;
  readonly own: number;
  readonly all: number;
}

/**
 * Divides the free slots by urgency among the streams that wait at all entries: the less urgent ones use
 * a quarter of the part that they would have if all were equal, and the most urgent ones use the rest.
 *
 * All compete as equals where the priorities are equal or not known, and where a more urgent stream waits
 * at this entry: its queue has then given the turn to the one that asks.
 */
export default function yieldToUrgent({
  free, priority, own, all,
}: Competition): FairPart {
  const equal = { free, own: own.onTimeWaiting, all: all.onTimeWaiting };
  const { urgent } = all;
  if (priority === undefined || urgent === undefined || urgent === null
    || (own.urgent !== undefined && own.urgent !== null && own.urgent.priority < priority)) {
    return equal;
  }
  // A stream more urgent than all that wait is not among them: it has just come.
  const isAmongWaiting = priority >= urgent.priority;
  const urgentWaiting = isAmongWaiting ? Math.min(urgent.onTimeWaiting, all.onTimeWaiting) : 1;
  const others = all.onTimeWaiting - (isAmongWaiting ? urgentWaiting : 0);
  if (priority > urgent.priority) {
    const waiting = Math.max(1, others);
    const guaranteed = (free * GUARANTEED_SHARE * waiting) / (waiting + urgentWaiting);
    // Not what the urgent ones that wait would leave: more of them come before their number is known here.
    return { free: guaranteed, own: own.onTimeWaiting, all: waiting };
  }
  return others <= 0 ? equal : {
    free: free - (free * GUARANTEED_SHARE * others) / (others + urgentWaiting),
    own: own.urgent?.priority === priority ? own.urgent.onTimeWaiting : 0,
    all: urgentWaiting,
  };
}
