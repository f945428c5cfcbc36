import type GrantPlanInput from './GrantPlanInput.js';
import lastDispatchMilliseconds from './lastDispatchMilliseconds.js';
import REPORT_SETTLE_MILLISECONDS from './REPORT_SETTLE_MILLISECONDS.js';
import type WithdrawnGrant from './WithdrawnGrant.js';

/** Requests at the target according to a report made after `lastDispatch`; Infinity without one. */
function reportedInFlight({ target }: GrantPlanInput, lastDispatch: number): number {
  if (target === undefined || target.receivedAtMilliseconds < lastDispatch + REPORT_SETTLE_MILLISECONDS) {
    return Infinity;
  }
  return target.report.runningRequests + target.report.waitingRequests;
}

/**
 * Upper bound on the requests that a former holder may have in flight or may still
 * send under a withdrawn share. The bound never increases once it has decreased.
 */
export default function possiblyInUse(
  withdrawn: WithdrawnGrant,
  input: GrantPlanInput,
  kind: 'cold' | 'warm',
): number {
  const lastDispatch = lastDispatchMilliseconds(withdrawn);
  const { monotonicMilliseconds, limits } = input;
  if (monotonicMilliseconds >= lastDispatch + limits.requestTimeoutMilliseconds) {
    return 0;
  }
  const { holder } = withdrawn;
  const excess = holder.kind === 'acknowledged' ? holder.excess[kind] : Infinity;
  return Math.min(withdrawn[kind], excess, reportedInFlight(input, lastDispatch));
}
