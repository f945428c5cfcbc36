import {
  err, ok, ResultAsync, type Result,
} from 'neverthrow';
import type { Dispatcher } from 'undici';
import { HEADERS } from '@dandelionlane/core';
import { isNeverSent } from '@dandelionlane/platform';
import type CallerRequest from '../requests/CallerRequest.js';
import targetHeaders from '../requests/targetHeaders.js';
import type AttemptFailure from './AttemptFailure.js';
import discardBody from './discardBody.js';
import type ReplicaTarget from '../targets/ReplicaTarget.js';
import type TargetAnswer from './TargetAnswer.js';

/** Options of `sendToTarget`. */
interface SendOptions {
  readonly dispatcher: Dispatcher;
  readonly request: CallerRequest;
  readonly target: ReplicaTarget;
  readonly body: Buffer;
  readonly remainingMilliseconds: number;
  readonly signal: AbortSignal;
}

function toFailure(cause: unknown): AttemptFailure {
  const detail = cause instanceof Error ? cause.message : String(cause);
  if (isNeverSent(cause)) {
    return { progress: { kind: 'not-sent' }, cause: 'target-lost', detail };
  }
  const isTimeout = cause instanceof Error && (cause.name === 'TimeoutError' || cause.name === 'HeadersTimeoutError');
  return { progress: { kind: 'sent' }, cause: isTimeout ? 'target-timeout' : 'target-lost', detail };
}

async function exchange(options: SendOptions): Promise<Result<TargetAnswer, AttemptFailure>> {
  const {
    dispatcher, request, target, body,
  } = options;
  const answer = await dispatcher.request({
    origin: `http://${target.leader?.address ?? ''}`,
    path: request.path,
    method: request.method,
    headers: targetHeaders(request, target.replica.replica),
    body: body.length === 0 ? null : body,
    signal: options.signal,
    headersTimeout: options.remainingMilliseconds,
    bodyTimeout: options.remainingMilliseconds,
  });
  const echoed = answer.headers[HEADERS.requestId];
  if (echoed !== undefined && echoed !== request.requestId) {
    // The answer belongs to another request: the target may have mixed up its connections.
    discardBody(answer.body);
    return err({
      progress: { kind: 'sent' }, cause: 'target-lost', detail: `answer belongs to request ${String(echoed)}`,
    });
  }
  return ok({ head: { status: answer.statusCode, headers: answer.headers }, body: answer.body });
}

/** Sends a request to the leader of a replica and waits for the head of the answer. */
export default function sendToTarget(options: SendOptions): ResultAsync<TargetAnswer, AttemptFailure> {
  return ResultAsync.fromPromise(exchange(options), toFailure).andThen((result) => result);
}
