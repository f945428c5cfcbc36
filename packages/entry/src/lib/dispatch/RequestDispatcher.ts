import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import {
  ServingError, combineSignals, type AvailabilityZoneId, type Clock, type RandomSource, type ReplicaId,
} from '@dandelionlane/core';
import {
  chooseTarget, decideRetry, RetryBudget, type TargetChoice,
} from '@dandelionlane/routing';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type CallerRequest from '../requests/CallerRequest.js';
import StreamRelay from '../streams/StreamRelay.js';
import type ServiceTargets from '../targets/ServiceTargets.js';
import AnswerChecker from './AnswerChecker.js';
import type Attempt from './Attempt.js';
import type AttemptFailure from './AttemptFailure.js';
import type CompleteAnswer from './CompleteAnswer.js';
import discardBody from './discardBody.js';
import isRefusal from './isRefusal.js';
import mayBeRefusal from './mayBeRefusal.js';
import readBounded from './readBounded.js';
import DispatchContext from './DispatchContext.js';
import resumeBody from './resumeBody.js';
import sendToTarget from './sendToTarget.js';
import type TargetAnswer from './TargetAnswer.js';
import writeStreamHead from './writeStreamHead.js';

/** Extra wait for the answer to a claimed call after its caller's deadline, so that it can be stored. */
const LATE_ANSWER_WAIT_MILLISECONDS = 60_000;

function isOK({ head }: TargetAnswer): boolean {
  return head.status >= 200 && head.status < 300;
}

/** Dependencies and settings of a `RequestDispatcher`. */
interface RequestDispatcherOptions {
  readonly availabilityZone: AvailabilityZoneId;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly checker: AnswerChecker;
  readonly maximumAnswerBytes: number;
  readonly slowCallerTimeoutMilliseconds: number;
  readonly log: Log;
  readonly metrics: Metrics;
}

type ChosenTarget = Extract<TargetChoice, { kind: 'chosen' }>;

/** How one attempt ended. `relayed`: nothing is left to send, as after a stream. */
type AttemptEnd = | { readonly kind: 'answered'; readonly answer: CompleteAnswer }
  | { readonly kind: 'relayed' }
  | { readonly kind: 'failed'; readonly failure: AttemptFailure };

/**
 * Sends a request to a chosen replica, retries failed attempts, resumes broken streams,
 * and checks the replica again before the last byte of the answer.
 *
 * Invariants: a request is sent only to a replica that is whole by the latest VM reports;
 * an answer is completed only after every member has reported the same incarnation again.
 */
export default class RequestDispatcher {
  readonly #options: RequestDispatcherOptions;

  readonly #budget = new RetryBudget();

  constructor(options: RequestDispatcherOptions) {
    this.#options = options;
  }

  /** Resolves to the complete answer, or to null if it was streamed or the caller disconnected. */
  async dispatch(
    request: CallerRequest,
    targets: ServiceTargets,
  ): Promise<Result<CompleteAnswer | null, ServingError>> {
    this.#budget.recordRequest();
    const context = this.#createContext(request, targets);
    if (this.#remaining(request) <= 0) {
      return err(new ServingError('the deadline passed before the request was sent', { kind: 'deadline-unreachable' }));
    }
    for (;;) {
      const choice = this.#choose(context);
      if (choice.kind === 'none') {
        return err(this.#createNoTargetError(context, choice.reason));
      }
      if (!(await this.#waitUntilSendable(context, choice.replica))) {
        continue;
      }
      const attempt = this.#startAttempt(context, choice);
      if (attempt === null) {
        return err(this.#createNoTargetError(context, 'no-whole-replica'));
      }
      const end = await this.#runAttempt(context, attempt);
      this.#recordAttemptEnd(context, attempt, end);
      if (end.kind !== 'failed') {
        return ok(end.kind === 'answered' ? end.answer : null);
      }
      const error = this.#decideAfterFailure(context, attempt, end.failure);
      if (error !== null) {
        return err(error);
      }
    }
  }

  #createContext(request: CallerRequest, targets: ServiceTargets): DispatchContext {
    const relay = new StreamRelay({
      outgoing: request.outgoing,
      slowCallerTimeoutMilliseconds: this.#options.slowCallerTimeoutMilliseconds,
      writeHead: () => writeStreamHead(request),
      onTokenRelayed: () => undefined,
    });
    const remaining = AbortSignal.timeout(this.#answerTimeout(request));
    // A claimed call continues after its caller disconnects, so that its answer can be stored.
    const signal = request.repeatability === 'claimed'
      ? remaining
      : combineSignals([remaining, request.callerGone]);
    return new DispatchContext(request, targets, relay, signal);
  }

  #choose({ request, targets, tried }: DispatchContext): TargetChoice {
    return chooseTarget({
      availabilityZone: this.#options.availabilityZone,
      prefixHash: request.prefixHash,
      estimatedTokens: request.estimatedTokens,
      tried,
      mayProbe: request.repeatability === 'repeatable',
    }, targets.views(), this.#options.random);
  }

  /**
   * Returns true if the replica can be sent one more request at once. Otherwise polls it until
   * it can, or until it is not whole or the deadline passes, and returns false: the reports
   * are newer, so a replica must be chosen again.
   */
  async #waitUntilSendable(context: DispatchContext, replica: ReplicaId): Promise<boolean> {
    const target = context.targets.replicaTarget(replica);
    if (target === undefined || target.canSend()) {
      return true;
    }
    while (!target.canSend() && this.#remaining(context.request) > 0) {
      await this.#options.checker.refresh(target);
      if (target.assess().kind !== 'whole') {
        return false;
      }
    }
    return false;
  }

  #startAttempt(context: DispatchContext, choice: ChosenTarget): Attempt | null {
    const { request, targets } = context;
    const { replica, reason } = choice;
    const target = targets.replicaTarget(replica);
    const assessment = target?.assess();
    if (target === undefined || assessment?.kind !== 'whole') {
      return null;
    }
    context.recordAttempt(replica);
    const now = this.#options.clock.monotonicMilliseconds();
    if (targets.latency.healthOf(replica, now) === 'probe') {
      targets.latency.recordProbeSent(replica, now);
    }
    return {
      target,
      reason,
      ticket: target.recordDispatch(request.internalId, request.estimatedTokens),
      incarnations: assessment.members,
      sentAtMilliseconds: now,
    };
  }

  async #runAttempt(context: DispatchContext, attempt: Attempt): Promise<AttemptEnd> {
    const { request, relay, signal } = context;
    this.#options.log.info('Target chosen.', {
      request: request.requestId,
      service: request.definition.service,
      replica: attempt.target.replica.replica,
      target: attempt.target.leader?.vm,
      reason: attempt.reason,
      attempt: context.attempts,
    });
    const sent = await sendToTarget({
      dispatcher: this.#options.dispatcher,
      request,
      target: attempt.target,
      body: resumeBody(request.body, relay.deliveredTokens),
      remainingMilliseconds: this.#answerTimeout(request),
      signal,
    });
    if (sent.isErr()) {
      return { kind: 'failed', failure: this.#withDeliveredTokens(context, sent.error) };
    }
    return request.streaming && !mayBeRefusal(sent.value.head) && isOK(sent.value)
      ? this.#relayStream(context, attempt, sent.value)
      : this.#receiveWholeAnswer(context, attempt, sent.value);
  }

  async #receiveWholeAnswer(
    context: DispatchContext,
    attempt: Attempt,
    { head, body }: TargetAnswer,
  ): Promise<AttemptEnd> {
    const whole = await readBounded(body, this.#options.maximumAnswerBytes);
    if (whole.isErr()) {
      return { kind: 'failed', failure: this.#withDeliveredTokens(context, whole.error) };
    }
    if (isRefusal(head, whole.value)) {
      const refusal = { progress: { kind: 'refused' }, cause: 'target-refused', detail: 'refused' } as const;
      return { kind: 'failed', failure: this.#withDeliveredTokens(context, refusal) };
    }
    const assessment = await this.#options.checker.check(attempt.target, attempt.incarnations);
    if (assessment.kind === 'invalid') {
      return { kind: 'failed', failure: this.#createNotWholeFailure(context, assessment.reason) };
    }
    return { kind: 'answered', answer: { head, body: whole.value, replica: attempt.target.replica.replica } };
  }

  async #relayStream(context: DispatchContext, attempt: Attempt, answer: TargetAnswer): Promise<AttemptEnd> {
    const { target, incarnations } = attempt;
    const confirm = async () => (
      (await this.#options.checker.check(target, incarnations)).kind === 'valid'
    );
    const end = await context.relay.relay(answer.body, AnswerChecker.isSingleVM(target) ? null : confirm);
    if (end.kind !== 'completed') {
      discardBody(answer.body);
    }
    switch (end.kind) {
      case 'completed': {
        const assessment = await this.#options.checker.check(target, incarnations);
        if (assessment.kind === 'invalid') {
          return { kind: 'failed', failure: this.#createNotWholeFailure(context, assessment.reason) };
        }
        context.relay.finish();
        return { kind: 'relayed' };
      }
      case 'stopped':
        return { kind: 'failed', failure: this.#createNotWholeFailure(context, 'member lost during the answer') };
      case 'caller-gone':
        return { kind: 'relayed' };
      case 'broken': {
        const detail = end.cause instanceof Error ? end.cause.message : String(end.cause);
        const isTimeout = end.cause instanceof Error && end.cause.name === 'TimeoutError';
        const failure: AttemptFailure = {
          progress: { kind: 'sent' }, cause: isTimeout ? 'target-timeout' : 'target-lost', detail,
        };
        return { kind: 'failed', failure: this.#withDeliveredTokens(context, failure) };
      }
      default:
        return end satisfies never;
    }
  }

  #recordAttemptEnd(context: DispatchContext, attempt: Attempt, end: AttemptEnd): void {
    const { target, ticket, sentAtMilliseconds } = attempt;
    const { request, targets, relay } = context;
    const now = this.#options.clock.monotonicMilliseconds();
    const isCallerGone = end.kind === 'failed' && request.callerGone.aborted;
    const isSuccess = end.kind !== 'failed' || isCallerGone;
    const failure = end.kind === 'failed' && end.failure.cause === 'target-lost' ? 'lost' : 'failure';
    target.recordCompletion(request.internalId, ticket, isSuccess ? 'success' : failure);
    const tokens = Math.max(1, relay.deliveredTokens);
    const sample = (now - sentAtMilliseconds) / (request.streaming ? tokens : 1);
    const { replica } = target.replica;
    const health = targets.latency.healthOf(replica, now);
    if (health !== 'admitted') {
      targets.latency.recordProbeResult(replica, isSuccess ? sample : null, now);
    } else if (isSuccess && !isCallerGone) {
      targets.latency.record(replica, sample);
    }
    this.#options.metrics.timing('entry.attempt', now - sentAtMilliseconds, [`outcome:${end.kind}`]);
  }

  /** Returns the error to answer with, or null if the request is to be attempted again. */
  #decideAfterFailure(
    context: DispatchContext,
    attempt: Attempt,
    failure: AttemptFailure,
  ): ServingError | null {
    const { request } = context;
    if (request.callerGone.aborted && request.repeatability !== 'claimed') {
      return new ServingError('caller went away', { kind: 'caller-gone' });
    }
    const decision = decideRetry({
      repeatable: request.repeatability === 'repeatable',
      resumable: request.definition.kind === 'model' && request.streaming,
      progress: failure.progress,
      cause: failure.cause,
      mayHaveRunBefore: context.mayHaveRun,
      attempts: context.attempts,
      hasAlternative: this.#choose(context).kind === 'chosen',
      remainingMilliseconds: this.#remaining(request),
      budget: this.#budget,
    });
    context.recordFailure(failure.progress);
    this.#options.log.info('Attempt failed.', {
      request: request.requestId,
      replica: attempt.target.replica.replica,
      cause: failure.cause,
      progress: failure.progress.kind,
      detail: failure.detail,
      decision: decision.kind,
      ...(decision.kind === 'give-up' ? { reason: decision.reason } : {}),
    });
    if (decision.kind !== 'give-up') {
      return null;
    }
    return new ServingError(`${failure.detail} (${decision.reason})`, { kind: decision.error });
  }

  #createNoTargetError(context: DispatchContext, reason: 'no-whole-replica' | 'all-full'): ServingError {
    this.#options.log.info('No target chosen.', {
      request: context.request.requestId, service: context.request.definition.service, reason,
    });
    if (context.mayHaveRun) {
      return new ServingError('no other replica can take the request over', { kind: 'target-lost' });
    }
    return reason === 'all-full'
      ? new ServingError('every whole replica is in full use', { kind: 'overloaded' })
      : new ServingError('no replica has all of its VMs present', { kind: 'no-whole-replica' });
  }

  #createNotWholeFailure(context: DispatchContext, detail: string): AttemptFailure {
    return this.#withDeliveredTokens(context, { progress: { kind: 'sent' }, cause: 'replica-not-whole', detail });
  }

  /** After tokens were sent to the caller, further attempts can only resume the answer. */
  // eslint-disable-next-line class-methods-use-this -- belongs to the attempts of a request
  #withDeliveredTokens({ relay }: DispatchContext, failure: AttemptFailure): AttemptFailure {
    return relay.deliveredTokens === 0
      ? failure
      : { ...failure, progress: { kind: 'answering', deliveredTokens: relay.deliveredTokens } };
  }

  /** Timeout of an answer, in whole milliseconds. */
  #answerTimeout(request: CallerRequest): number {
    const lateWaitMilliseconds = request.repeatability === 'claimed' ? LATE_ANSWER_WAIT_MILLISECONDS : 0;
    return Math.max(1, Math.ceil(this.#remaining(request) + lateWaitMilliseconds));
  }

  #remaining(request: CallerRequest): number {
    return request.deadlineMilliseconds - this.#options.clock.monotonicMilliseconds();
  }
}
