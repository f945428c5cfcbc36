import GRANT_MARGIN_MILLISECONDS from './GRANT_MARGIN_MILLISECONDS.js';
import GRANT_TERM_MILLISECONDS from './GRANT_TERM_MILLISECONDS.js';
import type WithdrawnGrant from './WithdrawnGrant.js';

/** Monotonic time from which on the former holder sends no more requests under a withdrawn share. */
export default function lastDispatchMilliseconds(withdrawn: WithdrawnGrant): number {
  const { holder, withdrawnAtMilliseconds } = withdrawn;
  switch (holder.kind) {
    case 'unknown':
      return withdrawnAtMilliseconds + GRANT_TERM_MILLISECONDS + GRANT_MARGIN_MILLISECONDS;
    case 'acknowledged':
    case 'gone':
      return holder.sinceMilliseconds;
    default:
      return holder satisfies never;
  }
}
