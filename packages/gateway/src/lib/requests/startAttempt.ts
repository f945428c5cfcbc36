import type Candidate from '../choice/Candidate.js';
import type AttemptListener from '../targets/AttemptListener.js';
import TargetAttempt from '../targets/TargetAttempt.js';
import type ReservedExecutions from '../relay/ReservedExecutions.js';
import type Call from './Call.js';
import type GatewayContext from './GatewayContext.js';
import priorityOf from './priorityOf.js';

/** Options of one attempt. */
interface AttemptOptions {
  readonly lastEventId: string | null;
  readonly usesNewConnection: boolean;
  readonly reserved: ReservedExecutions;
}

/** Sends a call to a target, or to another entry in place of one. */
export default function startAttempt(
  context: GatewayContext,
  call: Call,
  { entry: { worker }, state, peer }: Candidate,
  {
    lastEventId, usesNewConnection, reserved: { earlierExecutions, mayHaveRun },
  }: AttemptOptions,
  listener: AttemptListener,
): TargetAttempt {
  const now = context.clock.monotonicMilliseconds();
  const deadlineMilliseconds = Math.max(1, Math.floor(call.deadlineAt - now));
  const attempt = new TargetAttempt(context.connections, {
    worker: worker.id,
    address: worker.address,
    method: call.method,
    path: call.path,
    headers: peer !== null ? context.wire.peerHeaders(call.headers, {
      deadlineMilliseconds, lastEventId, earlierExecutions, mayHaveRun,
    }) : context.wire.targetHeaders(call.headers, {
      worker: worker.id,
      deadlineMilliseconds,
      team: call.team?.id ?? null,
      priority: priorityOf(call),
      lastEventId,
    }),
    body: call.body,
    usesNewConnection,
  }, listener);
  call.log.recordSend(worker.id);
  state.recordSend();
  attempt.start();
  return attempt;
}
