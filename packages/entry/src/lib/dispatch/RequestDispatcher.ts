import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import {
  ServingError, type AvailabilityZoneId, type Clock, type RandomSource, type ReplicaId,
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

/** How long the answer to a claimed call is awaited after its caller's deadline, so that it can be kept. */
const LATE_ANSWER_MILLISECONDS = 60_000;

function isOK({ head }: TargetAnswer): boolean {
  return head.status >= 200 && head.status < 300;
}

/** What a `RequestDispatcher` needs from outside. */
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

/** How one attempt ended. A stream that was relayed has already been answered. */
type AttemptEnd = | { readonly kind: 'answered'; readonly answer: CompleteAnswer }
  | { readonly kind: 'relayed' }
  | { readonly kind: 'failed'; readonly failure: AttemptFailure };

/**
 * Sends a request to a chosen replica and sees its answer through: retries, resumes,
 * and checks the replica again before the answer's last byte.
 *
 * Invariants: no request goes to a replica that is not whole by the latest sightings;
 * no answer is completed unless every member has since been seen in the same incarnation.
 */
export default class RequestDispatcher {
  readonly #options: RequestDispatcherOptions;

  readonly #budget = new RetryBudget();

  constructor(options: RequestDispatcherOptions) {
    this.#options = options;
  }

  /** Resolves to the whole answer, or to null when it was streamed to the caller. */
  async dispatch(
    request: CallerRequest,
    targets: ServiceTargets,
  ): Promise<Result<CompleteAnswer | null, ServingError>> {
    this.#budget.freshRequest();
    const course = this.#begin(request, targets);
    if (this.#remaining(request) <= 0) {
      return err(new ServingError('the deadline passed before the request was sent', { kind: 'deadline-unreachable' }));
    }
    for (;;) {
      const choice = this.#choose(course);
      if (choice.kind === 'none') {
        return err(this.#nothingChosen(course, choice.reason));
      }
      if (!(await this.#mayBegin(course, choice.replica))) {
        continue;
      }
      const attempt = this.#beginAttempt(course, choice);
      if (attempt === null) {
        return err(this.#nothingChosen(course, 'no-whole-replica'));
      }
      const end = await this.#attempt(course, attempt);
      this.#endAttempt(course, attempt, end);
      if (end.kind !== 'failed') {
        return ok(end.kind === 'answered' ? end.answer : null);
      }
      const refused = this.#afterFailure(course, attempt, end.failure);
      if (refused !== null) {
        return err(refused);
      }
    }
  }

  #begin(request: CallerRequest, targets: ServiceTargets): DispatchContext {
    const relay = new StreamRelay({
      outgoing: request.outgoing,
      slowCallerTimeoutMilliseconds: this.#options.slowCallerTimeoutMilliseconds,
      writeHead: () => writeStreamHead(request),
      onTokenRelayed: () => undefined,
    });
    const remaining = AbortSignal.timeout(this.#answerTimeout(request));
    // A call that may not be repeated goes on without its caller, so that its answer can be kept.
    const signal = request.repeatability === 'claimed'
      ? remaining
      : AbortSignal.any([remaining, request.callerGone]);
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
   * Waits until one more request may be sent to the replica. False when it has to be
   * chosen anew, because the replica was seen in another state meanwhile.
   */
  async #mayBegin(course: DispatchContext, replica: ReplicaId): Promise<boolean> {
    const slot = course.targets.replicaTarget(replica);
    if (slot === undefined || slot.canSend()) {
      return true;
    }
    while (!slot.canSend() && this.#remaining(course.request) > 0) {
      await this.#options.checker.refresh(slot);
      if (slot.assess().kind !== 'whole') {
        return false;
      }
    }
    return false;
  }

  #beginAttempt(course: DispatchContext, choice: ChosenTarget): Attempt | null {
    const { request, targets } = course;
    const { replica, reason } = choice;
    const slot = targets.replicaTarget(replica);
    const assessment = slot?.assess();
    if (slot === undefined || assessment?.kind !== 'whole') {
      return null;
    }
    course.recordAttempt(replica);
    const now = this.#options.clock.monotonicMilliseconds();
    if (targets.latency.healthOf(replica, now) === 'probe') {
      targets.latency.probeSent(replica, now);
    }
    return {
      target: slot,
      reason,
      ticket: slot.recordDispatch(request.internalId, request.estimatedTokens),
      incarnations: assessment.members,
      sentAtMilliseconds: now,
    };
  }

  async #attempt(course: DispatchContext, attempt: Attempt): Promise<AttemptEnd> {
    const { request, relay, signal } = course;
    this.#options.log.info('Target chosen.', {
      request: request.requestId,
      service: request.definition.service,
      replica: attempt.target.replica.replica,
      target: attempt.target.leader?.vm,
      reason: attempt.reason,
      attempt: course.attempts,
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
      return { kind: 'failed', failure: this.#withDelivered(course, sent.error) };
    }
    return request.streaming && !mayBeRefusal(sent.value.head) && isOK(sent.value)
      ? this.#relayStream(course, attempt, sent.value)
      : this.#takeWhole(course, attempt, sent.value);
  }

  async #takeWhole(
    course: DispatchContext,
    attempt: Attempt,
    { head, body }: TargetAnswer,
  ): Promise<AttemptEnd> {
    const whole = await readBounded(body, this.#options.maximumAnswerBytes);
    if (whole.isErr()) {
      return { kind: 'failed', failure: this.#withDelivered(course, whole.error) };
    }
    if (isRefusal(head, whole.value)) {
      const refused = { progress: { kind: 'refused' }, cause: 'target-refused', detail: 'refused' } as const;
      return { kind: 'failed', failure: this.#withDelivered(course, refused) };
    }
    const assessment = await this.#options.checker.check(attempt.target, attempt.incarnations);
    if (assessment.kind === 'invalid') {
      return { kind: 'failed', failure: this.#notWhole(course, assessment.reason) };
    }
    return { kind: 'answered', answer: { head, body: whole.value, replica: attempt.target.replica.replica } };
  }

  async #relayStream(course: DispatchContext, attempt: Attempt, answer: TargetAnswer): Promise<AttemptEnd> {
    const { target: slot, incarnations } = attempt;
    const confirm = async () => (
      (await this.#options.checker.check(slot, incarnations)).kind === 'valid'
    );
    const end = await course.relay.relay(answer.body, AnswerChecker.isSingleVM(slot) ? null : confirm);
    if (end.kind !== 'completed') {
      discardBody(answer.body);
    }
    switch (end.kind) {
      case 'completed': {
        const assessment = await this.#options.checker.check(slot, incarnations);
        if (assessment.kind === 'invalid') {
          return { kind: 'failed', failure: this.#notWhole(course, assessment.reason) };
        }
        course.relay.finish();
        return { kind: 'relayed' };
      }
      case 'stopped':
        return { kind: 'failed', failure: this.#notWhole(course, 'member lost during the answer') };
      case 'caller-gone':
        return { kind: 'relayed' };
      case 'broken': {
        const detail = end.cause instanceof Error ? end.cause.message : String(end.cause);
        const late = end.cause instanceof Error && end.cause.name === 'TimeoutError';
        const failure: AttemptFailure = {
          progress: { kind: 'sent' }, cause: late ? 'target-timeout' : 'target-lost', detail,
        };
        return { kind: 'failed', failure: this.#withDelivered(course, failure) };
      }
      default:
        return end satisfies never;
    }
  }

  #endAttempt(course: DispatchContext, attempt: Attempt, end: AttemptEnd): void {
    const { target: slot, ticket, sentAtMilliseconds } = attempt;
    const { request, targets, relay } = course;
    const now = this.#options.clock.monotonicMilliseconds();
    const gone = end.kind === 'failed' && request.callerGone.aborted;
    const success = end.kind !== 'failed' || gone;
    const failure = end.kind === 'failed' && end.failure.cause === 'target-lost' ? 'lost' : 'failure';
    slot.recordCompletion(request.internalId, ticket, success ? 'success' : failure);
    const tokens = Math.max(1, relay.deliveredTokens);
    const sample = (now - sentAtMilliseconds) / (request.streaming ? tokens : 1);
    const { replica } = slot.replica;
    const health = targets.latency.healthOf(replica, now);
    if (health !== 'admitted') {
      targets.latency.probeEnded(replica, success ? sample : null, now);
    } else if (success && !gone) {
      targets.latency.record(replica, sample);
    }
    this.#options.metrics.timing('entry.attempt', now - sentAtMilliseconds, [`outcome:${end.kind}`]);
  }

  /** Returns the refusal, or null when the request goes on. */
  #afterFailure(course: DispatchContext, attempt: Attempt, failure: AttemptFailure): ServingError | null {
    const { request } = course;
    if (request.callerGone.aborted && request.repeatability !== 'claimed') {
      return new ServingError('caller went away', { kind: 'caller-gone' });
    }
    const decision = decideRetry({
      repeatable: request.repeatability === 'repeatable',
      resumable: request.definition.kind === 'model' && request.streaming,
      progress: failure.progress,
      cause: failure.cause,
      mayHaveRunBefore: course.mayHaveRun,
      attempts: course.attempts,
      hasAlternative: this.#choose(course).kind === 'chosen',
      remainingMilliseconds: this.#remaining(request),
      budget: this.#budget,
    });
    course.recordFailure(failure.progress);
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

  #nothingChosen(course: DispatchContext, reason: 'no-whole-replica' | 'all-full'): ServingError {
    this.#options.log.info('No target chosen.', {
      request: course.request.requestId, service: course.request.definition.service, reason,
    });
    if (course.mayHaveRun) {
      return new ServingError('no other replica can take the request over', { kind: 'target-lost' });
    }
    return reason === 'all-full'
      ? new ServingError('every whole replica is in full use', { kind: 'overloaded' })
      : new ServingError('no replica has all of its VMs present', { kind: 'no-whole-replica' });
  }

  #notWhole(course: DispatchContext, detail: string): AttemptFailure {
    return this.#withDelivered(course, { progress: { kind: 'sent' }, cause: 'replica-not-whole', detail });
  }

  /** After tokens have gone out, whatever follows may only continue the answer. */
  // eslint-disable-next-line class-methods-use-this -- belongs to the course of a request
  #withDelivered({ relay }: DispatchContext, failure: AttemptFailure): AttemptFailure {
    return relay.deliveredTokens === 0
      ? failure
      : { ...failure, progress: { kind: 'answering', deliveredTokens: relay.deliveredTokens } };
  }

  /** How long to wait for an answer, in whole milliseconds. */
  #answerTimeout(request: CallerRequest): number {
    const late = request.repeatability === 'claimed' ? LATE_ANSWER_MILLISECONDS : 0;
    return Math.max(1, Math.ceil(this.#remaining(request) + late));
  }

  #remaining(request: CallerRequest): number {
    return request.deadlineMilliseconds - this.#options.clock.monotonicMilliseconds();
  }
}
