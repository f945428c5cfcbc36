import { ServingError, type WorkerId } from '@dandelionlane/core';
import type Call from '../requests/Call.js';
import type GatewayParts from '../requests/GatewayParts.js';
import pickTarget from '../requests/pickTarget.js';
import refuseChoice from '../requests/refuseChoice.js';
import timerUntil from '../requests/timerUntil.js';
import writeRefusal from '../requests/writeRefusal.js';
import beginAnswer from './beginAnswer.js';
import exchangePlain from './exchangePlain.js';
import judgeAnswer from './judgeAnswer.js';
import passHeaders from './passHeaders.js';
import type PlainAnswer from './PlainAnswer.js';

/** Wait for an idempotent answer, in target latencies, after which another target is asked. */
const PATIENCE_FACTOR = 3;

/** Most targets that are tried without having run the request. */
const MAXIMUM_REFUSALS = 3;

type Answered = Extract<PlainAnswer, { kind: 'answered' }>;

function writeAnswer(call: Call, {
  status, headers, body, head,
}: Answered): void {
  const passed = passHeaders(headers);
  if (call.method !== 'HEAD' && head.framed) {
    passed['content-length'] = String(body.length);
  }
  beginAnswer(call.outgoing, status, passed, head.framed);
  call.outgoing.end(body);
}

/**
 * Serves a request whose answer is no stream. Returns the outcome for the log.
 *
 * Invariant: a request that may not be repeated is sent on only while no target can have run it.
 */
export default async function servePlain(
  parts: GatewayParts,
  call: Call,
  signal: AbortSignal,
): Promise<string> {
  const idempotent = call.route.request.kind === 'idempotent';
  const excluded = new Set<WorkerId>();
  let runs = 0;
  let refusals = 0;
  let arrivals = 0;
  let kept: Answered | null = null;
  const remaining = () => call.deadlineAt - parts.clock.monotonicMilliseconds();
  const refuse = (error: ServingError): string => {
    writeRefusal(call.outgoing, error);
    return error.kind;
  };
  const giveUp = (reason: string): string => {
    if (kept !== null) {
      writeAnswer(call, kept);
      return 'target-failure';
    }
    const kind = remaining() <= 0 ? 'target-timeout' : 'target-lost';
    return refuse(new ServingError(reason, { kind }));
  };
  while (!signal.aborted) {
    if (remaining() <= 0) {
      return runs > 0 ? giveUp('deadline passed')
        : refuse(new ServingError('deadline passed before a target took the request', { kind: 'deadline-unreachable' }));
    }
    const choice = pickTarget(parts, call, excluded);
    if (choice.kind === 'none') {
      return runs > 0 ? giveUp(choice.reason) : refuse(refuseChoice(choice));
    }
    if (arrivals > 0 && !parts.budget.tryRepeat(call.service, parts.countEntries())) {
      return runs > 0 ? giveUp('no repeat left in the budget')
        : refuse(new ServingError('targets refused and no repeat is left', { kind: 'target-refused' }));
    }
    const { candidate } = choice;
    const { id } = candidate.entry.worker;
    const mayRepeat = idempotent && runs + 1 < call.route.maximumAttempts;
    const patience = call.route.targetLatencyMilliseconds * PATIENCE_FACTOR;
    const startedAt = parts.clock.monotonicMilliseconds();
    const timeLeft = timerUntil(parts.clock, call.deadlineAt);
    const answer = await exchangePlain(parts, call, candidate, {
      fresh: !idempotent,
      timeoutMilliseconds: mayRepeat ? Math.min(timeLeft, patience) : timeLeft,
      signal,
    });
    const took = parts.clock.monotonicMilliseconds() - startedAt;
    const verdict = answer.kind === 'answered'
      ? judgeAnswer(answer.status, answer.head, call.said.requestId) : null;
    const told = answer.kind === 'answered'
      ? `${answer.status} ${String(verdict)}${answer.head.framed ? '' : ' without a length'}` : answer.reason;
    call.log.attempt(`${id} load=${choice.load.toFixed(1)}/${choice.candidates} ${told} ${Math.round(took)}ms`);
    excluded.add(id);
    if (answer.kind === 'answered' && verdict === 'own') {
      candidate.state.succeeded(took);
      writeAnswer(call, answer);
      return 'answered';
    }
    if (answer.kind === 'failed' && !answer.sent) {
      candidate.state.unreachable();
      refusals += 1;
    } else if (verdict === 'not-executed') {
      arrivals += 1;
      refusals += 1;
      if (answer.kind === 'answered' && answer.status !== 421) {
        candidate.state.failed();
      }
    } else {
      arrivals += 1;
      runs += 1;
      candidate.state.failed();
      if (answer.kind === 'answered' && verdict === 'failure') {
        kept = answer;
      }
    }
    if (signal.aborted) {
      break;
    }
    if (runs > 0 && (!idempotent || runs >= call.route.maximumAttempts)) {
      return giveUp(told);
    }
    if (refusals >= MAXIMUM_REFUSALS) {
      return runs > 0 ? giveUp(told)
        : refuse(new ServingError('targets refused the request', { kind: 'target-refused', retryAfterSeconds: 0.2 }));
    }
  }
  return 'caller-gone';
}
