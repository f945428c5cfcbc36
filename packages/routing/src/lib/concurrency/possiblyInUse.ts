import GRANT_MARGIN_MILLISECONDS from './GRANT_MARGIN_MILLISECONDS.js';
import GRANT_TERM_MILLISECONDS from './GRANT_TERM_MILLISECONDS.js';
import type GrantPlanInput from './GrantPlanInput.js';
import REPORT_SETTLE_MILLISECONDS from './REPORT_SETTLE_MILLISECONDS.js';
import type WithdrawnGrant from './WithdrawnGrant.js';

/** From when on the former holder sends nothing more under the grant. */
function lastDispatchMilliseconds(withdrawn: WithdrawnGrant): number {
  const runsOutAtMilliseconds = withdrawn.withdrawnAtMilliseconds
    + GRANT_TERM_MILLISECONDS + GRANT_MARGIN_MILLISECONDS;
  switch (withdrawn.holder.kind) {
    case 'unknown':
      return runsOutAtMilliseconds;
    case 'gone':
      return Math.min(withdrawn.holder.sinceMilliseconds, runsOutAtMilliseconds);
    case 'acknowledged':
      return withdrawn.withdrawnAtMilliseconds;
    default:
      return withdrawn.holder satisfies never;
  }
}

/**
 * Upper bound on the requests that a former holder may have in flight, or may
 * still send, under a share taken back.
 */
export default function possiblyInUse(withdrawn: WithdrawnGrant, input: GrantPlanInput): number {
  if (withdrawn.holder.kind === 'acknowledged') {
    return withdrawn.holder.excessInFlight;
  }
  const lastDispatch = lastDispatchMilliseconds(withdrawn);
  if (input.monotonicMilliseconds >= lastDispatch + input.limits.requestTimeoutMilliseconds) {
    return 0;
  }
  const { target } = input;
  if (target !== undefined && target.seenAtMilliseconds >= lastDispatch + REPORT_SETTLE_MILLISECONDS) {
    return target.report.runningRequests + target.report.waitingRequests;
  }
  return Infinity;
}
