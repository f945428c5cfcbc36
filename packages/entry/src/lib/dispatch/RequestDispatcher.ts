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
import RequestCourse from './RequestCourse.js';
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
    this.#budget.recordRequest();
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

  #begin(request: CallerRequest, targets: ServiceTargets): RequestCourse {
    const relay = new StreamRelay({
      outgoing: request.outgoing,
      slowCallerTimeoutMilliseconds: this.#options.slowCallerTimeoutMilliseconds,
      writeHead: () => writeStreamHead(request),
      tokenRelayed: () => undefined,
    });
    const remaining = AbortSignal.timeout(this.#answerTimeout(request));
    // A call that may not be repeated goes on without its caller, so that its answer can be kept.
    const signal = request.repeatability === 'claimed'
      ? remaining
      : AbortSignal.any([remaining, request.callerGone]);
    return new RequestCourse(request, targets, relay, signal);
  }

  #choose({ request, targets, tried }: RequestCourse): TargetChoice {
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
  async #mayBegin(course: RequestCourse, replica: ReplicaId): Promise<boolean> {
    const slot = course.targets.slot(replica);
    if (slot === undefined || slot.maySend()) {
      return true;
    }
    while (!slot.maySend() && this.#remaining(course.request) > 0) {
      await this.#options.checker.see(slot);
      if (slot.assess().kind !== 'whole') {
        return false;
      }
    }
    return false;
  }

  #beginAttempt(course: RequestCourse, choice: ChosenTarget): Attempt | null {
    const { request, targets } = course;
    const { replica, reason } = choice;
    const slot = targets.slot(replica);
    const assessment = slot?.assess();
    if (slot === undefined || assessment?.kind !== 'whole') {
      return null;
    }
    course.attemptBegins(replica);
    const now = this.#options.clock.monotonicMilliseconds();
    if (targets.latency.healthOf(replica, now) === 'probe') {
      targets.latency.recordProbeSent(replica, now);
    }
    return {
      slot,
      reason,
      ticket: slot.dispatched(request.workId, request.estimatedTokens),
      incarnations: assessment.members,
      sentAtMilliseconds: now,
    };
  }

  async #attempt(course: RequestCourse, attempt: Attempt): Promise<AttemptEnd> {
    const { request, relay, signal } = course;
    this.#options.log.info('Target chosen.', {
      request: request.requestId,
      service: request.definition.service,
      replica: attempt.slot.replica.replica,
      target: attempt.slot.leader?.vm,
      reason: attempt.reason,
      attempt: course.attempts,
    });
    const sent = await sendToTarget({
      dispatcher: this.#options.dispatcher,
      request,
      slot: attempt.slot,
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
    course: RequestCourse,
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
    const assessment = await this.#options.checker.check(attempt.slot, attempt.incarnations);
    if (assessment.kind === 'invalid') {
      return { kind: 'failed', failure: this.#notWhole(course, assessment.reason) };
    }
    return { kind: 'answered', answer: { head, body: whole.value, replica: attempt.slot.replica.replica } };
  }

  async #relayStream(course: RequestCourse, attempt: Attempt, answer: TargetAnswer): Promise<AttemptEnd> {
    const { slot, incarnations } = attempt;
    const confirm = async () => (
      (await this.#options.checker.check(slot, incarnations)).kind === 'valid'
    );
    const end = await course.relay.relay(answer.body, AnswerChecker.isSelfEvident(slot) ? null : confirm);
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

  #endAttempt(course: RequestCourse, attempt: Attempt, end: AttemptEnd): void {
    const { slot, ticket, sentAtMilliseconds } = attempt;
    const { request, targets, relay } = course;
    const now = this.#options.clock.monotonicMilliseconds();
    const gone = end.kind === 'failed' && request.callerGone.aborted;
    const success = end.kind !== 'failed' || gone;
    const failure = end.kind === 'failed' && end.failure.cause === 'target-lost' ? 'lost' : 'failure';
    slot.finished(request.workId, ticket, success ? 'success' : failure);
    const tokens = Math.max(1, relay.deliveredTokens);
    const sample = (now - sentAtMilliseconds) / (request.streaming ? tokens : 1);
    const { replica } = slot.replica;
    const health = targets.latency.healthOf(replica, now);
    if (health !== 'admitted') {
      targets.latency.recordProbeResult(replica, success ? sample : null, now);
    } else if (success && !gone) {
      targets.latency.record(replica, sample);
    }
    this.#options.metrics.timing('entry.attempt', now - sentAtMilliseconds, [`outcome:${end.kind}`]);
  }

  /** Returns the refusal, or null when the request goes on. */
  #afterFailure(course: RequestCourse, attempt: Attempt, failure: AttemptFailure): ServingError | null {
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
    course.attemptFailed(failure.progress);
    this.#options.log.info('Attempt failed.', {
      request: request.requestId,
      replica: attempt.slot.replica.replica,
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

  #nothingChosen(course: RequestCourse, reason: 'no-whole-replica' | 'all-full'): ServingError {
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

  #notWhole(course: RequestCourse, detail: string): AttemptFailure {
    return this.#withDelivered(course, { progress: { kind: 'sent' }, cause: 'replica-not-whole', detail });
  }

  /** After tokens have gone out, whatever follows may only continue the answer. */
  // eslint-disable-next-line class-methods-use-this -- belongs to the course of a request
  #withDelivered({ relay }: RequestCourse, failure: AttemptFailure): AttemptFailure {
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
