import countReservedSpares from '../plan/countReservedSpares.js';
import LOAD_MILLISECONDS from './LOAD_MILLISECONDS.js';
import type MoveContext from './MoveContext.js';
import type MoveProgress from './MoveProgress.js';
import isCompleteAndOpen from './isCompleteAndOpen.js';

/** Time after which the receiver's groups are no longer waited for, in ms: one member may have to load. */
const FORMING_TIMEOUT_MILLISECONDS = 2 * LOAD_MILLISECONDS;

/** Waits until the receiver's groups of the freed workers are open, which the plan of new groups forms. */
export default function planMoveForming({
  move, phaseMilliseconds, records, observation, pool, domainSizes,
}: MoveContext): MoveProgress {
  const freed = new Set(move.records.flatMap(({ members }) => members.map(({ id }) => id)));
  const formed = records.filter(({ model, members }) => (
    model === move.receiver && members.some(({ id }) => freed.has(id))));
  const free = pool.countIn(move.domain) - countReservedSpares(domainSizes.get(move.domain) ?? 0);
  if (free < move.receiverSize && formed.every((record) => isCompleteAndOpen(record, observation))) {
    return { kind: 'ended', outcome: formed.length === 0 ? 'member-lost' : 'done' };
  }
  return phaseMilliseconds > FORMING_TIMEOUT_MILLISECONDS
    ? { kind: 'ended', outcome: 'timed-out' } : { kind: 'going', phase: 'forming', steps: [] };
}
