import type { ServingError } from '@dandelionlane/core';
import type AdmissionLimit from '../admission/AdmissionLimit.js';
import drawRetrySeconds from '../admission/drawRetrySeconds.js';
import type Choice from '../choice/Choice.js';
import type Call from './Call.js';
import createRefusal from './createRefusal.js';
import type GatewayContext from './GatewayContext.js';
import isRanked from './isRanked.js';
import priorityOf from './priorityOf.js';
import queueKeyOf from './queueKeyOf.js';

/** Decimal places of a logged share, as a factor. */
const SHARE_PRECISION = 1_000;

/**
 * Creates the refusal for a choice that found no target, and records it in the log line of the request
 * and in the metrics. The request has not run.
 * @param full What had no room for it; null where it did not ask for room.
 */
export default function refuseForLack(
  context: GatewayContext,
  call: Call,
  choice: Extract<Choice, { kind: 'none' }>,
  full: AdmissionLimit | null,
): ServingError {
  const {
    admissionQueue, clock, random, metrics,
  } = context;
  const { team, deadlineAt, log } = call;
  const queueKey = queueKeyOf(call);
  const priority = priorityOf(call);
  const remainingMilliseconds = deadlineAt - clock.monotonicMilliseconds();
  const ranked = isRanked(context, call);
  const error = createRefusal(choice, {
    queueMilliseconds: ranked ? admissionQueue.estimateMilliseconds(queueKey) : null,
    draw: (expectedSeconds) => (
      ranked ? drawRetrySeconds({ expectedSeconds, remainingMilliseconds, random }) : expectedSeconds
    ),
  });
  const share = team === null ? null : admissionQueue.teamShare({ queueKey, priority, team: team.id });
  log.set('priority', priority);
  log.set('teamShare', share === null ? undefined : Math.round(share * SHARE_PRECISION) / SHARE_PRECISION);
  log.set('full', full ?? undefined);
  log.set('retryAfterSeconds', error.retryAfterSeconds);
  metrics.count('gateway.refusals', 1, [`priority:${priority}`]);
  return error;
}
