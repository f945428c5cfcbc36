import { ServingError, type WorkerId } from '@dandelionlane/core';
import isNotRunStatus from './isNotRunStatus.js';
import type AdmissionLimit from '../admission/AdmissionLimit.js';
import isRefusedConnection from '../targets/isRefusedConnection.js';
import type Choice from '../choice/Choice.js';
import type ChosenTarget from '../choice/ChosenTarget.js';
import findRefusal from '../quarantine/findRefusal.js';
import type AdmissionQueue from '../requests/AdmissionQueue.js';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import isRanked from '../requests/isRanked.js';
import pickTarget from '../requests/pickTarget.js';
import declineForEntry from '../requests/declineForEntry.js';
import describeLack from '../requests/describeLack.js';
import priorityOf from '../requests/priorityOf.js';
import queueKeyOf from '../requests/queueKeyOf.js';
import refuseForLack from '../requests/refuseForLack.js';
import timerUntil from '../requests/timerUntil.js';
import writeRefusal from '../requests/writeRefusal.js';
import EventSequence from './EventSequence.js';
import ExecutionBudget from './ExecutionBudget.js';
import type StreamAttemptOutcome from './StreamAttemptOutcome.js';
import abortAnswer from './abortAnswer.js';
import RunningAttempts from './RunningAttempts.js';
import StreamAttempt from './StreamAttempt.js';
import type FailureAnswer from './FailureAnswer.js';
import describeStreamAttempt from './describeStreamAttempt.js';
import StreamTiming from './StreamTiming.js';

const MOST_URGENT = 0;

/** Limit on targets that are tried and do not run the request, besides those where nobody listens. */
const MAXIMUM_REFUSALS = 4;

/**
 * Longest time that a request is queued for a target, in ms: callers abandon a silent stream after
 * 2 s, and the first event takes some hundred ms.
 */
const MAXIMUM_WAIT_MILLISECONDS = 1_500;

/** Whether the request may have run in an attempt that ended so. */
function mayHaveRun(end: StreamAttemptOutcome): boolean {
  switch (end.kind) {
    case 'not-executed':
    case 'unsent':
      return false;
    case 'passed-back':
      return !isNotRunStatus(end.answer.status);
    case 'complete':
    case 'failed':
    case 'superseded':
    case 'broken':
      return true;
    default:
      return end satisfies never;
  }
}

/**
 * Serves one stream of events by one or more attempts. While its target is silent, a second attempt may
 * run beside the first; whichever goes on first serves the rest, and the other one is ended.
 *
 * Invariants: each event reaches the caller whole, once and in order; the answer ends as complete only
 * when an attempt ended as complete; a stream that is not resumable is run at most once; a target whose
 * connection is sound is left only for one that has gone on with the stream.
 */
export default class StreamRelay {
  readonly #context: GatewayContext;

  readonly #call: Call;

  readonly #sequence: EventSequence;

  readonly #timing = new StreamTiming();

  readonly #excluded = new Set<WorkerId>();

  readonly #running = new RunningAttempts<StreamAttempt, StreamAttemptOutcome>();

  /** Failure answer of a target, which is passed on if no other target serves the stream. */
  #failureAnswer: FailureAnswer | null = null;

  readonly #executions: ExecutionBudget;

  /** Targets that the request may have reached: each beyond the first counts as a retry. */
  #deliveries = 0;

  #refusals = 0;

  /** What had no room for the request when it last waited; null where it has not waited in vain. */
  #full: AdmissionLimit | null = null;

  /** Target that this process has left while the connection to it was sound, or null. */
  #leftTarget: WorkerId | null = null;

  constructor(context: GatewayContext, call: Call) {
    this.#context = context;
    this.#call = call;
    this.#sequence = new EventSequence(call.metadata.lastEventId);
    this.#executions = new ExecutionBudget(call, this.#isResumable);
  }

  /** Serves the stream to its end. Returns the outcome for the log. */
  async serve(signal: AbortSignal): Promise<string> {
    const {
      metadata: { model }, onTimeUntil, service, team, route,
    } = this.#call;
    // The entry that a request is passed on to counts it.
    const isOnTime = onTimeUntil > this.#context.clock.monotonicMilliseconds();
    if (model !== null && !this.#context.paths.isLost(service)) {
      this.#context.trafficMeter.recordPriority(model, team?.priority ?? route.priority);
      if (isOnTime) {
        this.#context.trafficMeter.recordArrival(model);
      }
    }
    const outcome = await this.#serveAttempts(signal);
    const { firstEventAt, longestPauseMilliseconds } = this.#timing;
    if (firstEventAt !== null) {
      this.#call.log.set('firstEventMilliseconds', Math.round(firstEventAt - this.#call.receivedAt));
      this.#call.log.set('longestPauseMilliseconds', Math.round(longestPauseMilliseconds));
    }
    return outcome;
  }

  async #serveAttempts(signal: AbortSignal): Promise<string> {
    while (!signal.aborted) {
      if (this.#remainingMilliseconds() <= 0) {
        return this.#fail('deadline passed');
      }
      const quarantined = await this.#refuseQuarantined();
      if (quarantined !== null) {
        return quarantined;
      }
      const choice = await this.#choose(signal);
      if (signal.aborted) {
        return 'caller-gone';
      }
      if (choice.kind === 'none') {
        this.#call.log.set('lack', describeLack(choice));
        if (choice.reason === 'no-path' && this.#deliveries === 0) {
          declineForEntry(this.#context, this.#call);
        }
        return this.#mayHaveRun() ? this.#fail(choice.reason) : this.#refuse(
          refuseForLack(this.#context, this.#call, choice, this.#full),
        );
      }
      // A part may have been quarantined while the request waited; it then asks again, and chooses anew.
      if (!this.#isHeldBack) {
        if (this.#deliveries > 0 && !this.#tryRetry()) {
          return this.#fail('no repeat left in the budget');
        }
        const outcome = await this.#runAttempts(choice, signal);
        if (outcome !== null) {
          return signal.aborted ? 'caller-gone' : outcome;
        }
      }
    }
    return 'caller-gone';
  }

  /** Ends a request that crashes targets. Returns the outcome, or null if it may go on. */
  async #refuseQuarantined(): Promise<string | null> {
    const refusal = await findRefusal(this.#context, this.#call);
    if (refusal === null) {
      return null;
    }
    return this.#mayHaveRun() ? this.#fail(refusal.message) : this.#refuse(refusal);
  }

  /** Whether the request, or a part of its prompt, is held back now. */
  get #isHeldBack(): boolean {
    return this.#context.quarantine.find(this.#call.suspects) !== null;
  }

  /** Chooses a target; queues for one where none is free. */
  async #choose(signal: AbortSignal): Promise<Choice> {
    const choose = () => pickTarget(this.#context, this.#call, this.#excluded, this.#hasStarted);
    const { clock, admissionQueue } = this.#context;
    const {
      metadata, receivedAt, onTimeUntil, deadlineAt, log, team,
    } = this.#call;
    const startedAt = clock.monotonicMilliseconds();
    const waitStartedAt = this.#mayHaveRun() ? startedAt : receivedAt;
    const until = Math.min(deadlineAt, waitStartedAt + MAXIMUM_WAIT_MILLISECONDS);
    const ranked = isRanked(this.#context, this.#call);
    const request = {
      queueKey: queueKeyOf(this.#call),
      model: metadata.model,
      // Work that has been done for a stream would be lost with it.
      priority: ranked && this.#mayHaveRun() ? MOST_URGENT : priorityOf(this.#call),
      hasStarted: this.#mayHaveRun(),
      team: ranked ? team?.id ?? null : null,
      // A started stream goes ahead of late ones, and behind those that can still be on time.
      onTimeUntil: this.#mayHaveRun() ? until : onTimeUntil,
      until,
      signal,
      choose,
    };
    const hasToQueue = this.#hasToQueue(request);
    const choice: Choice = hasToQueue ? { kind: 'none', reason: 'all-full' } : choose();
    if (choice.kind === 'chosen') {
      admissionQueue.recordUnqueued(request);
      return choice;
    }
    if (choice.reason === 'no-path') {
      return choice;
    }
    if ((choice.reason === 'all-held-off' || choice.reason === 'all-limited')
      && startedAt + choice.retryAfterMilliseconds >= until) {
      return choice;
    }
    const waited = await admissionQueue.wait(request, hasToQueue);
    log.set('waitedMilliseconds', Math.round(clock.monotonicMilliseconds() - startedAt));
    switch (waited.kind) {
      case 'served':
        return waited.choice;
      case 'unserved':
        this.#full = waited.full;
        return choice;
      case 'rejected':
        this.#full = 'time';
        return { kind: 'none', reason: 'queue-full', retryAfterMilliseconds: waited.retryAfterMilliseconds };
      default:
        return waited satisfies never;
    }
  }

  /** Whether others that wait are more urgent, or their teams have had less, so that it may not go first. */
  #hasToQueue(request: Parameters<AdmissionQueue['wait']>[0]): boolean {
    const { admissionQueue, clock, paths } = this.#context;
    const isNew = !this.#hasStarted && this.#refusals === 0 && this.#deliveries === 0;
    return isNew && clock.monotonicMilliseconds() < request.until
      && !paths.isLost(this.#call.service) && admissionQueue.goesBehind(request);
  }

  /** Whether a target has started the stream, so that it has to resume at once. */
  get #hasStarted(): boolean {
    return this.#mayHaveRun() || this.#sequence.lastId !== null;
  }

  get #isResumable(): boolean {
    const { request } = this.#call.route;
    return request.kind === 'stream' && request.resumable;
  }

  #tryRetry(): boolean {
    return this.#context.budget.tryRetry(this.#call.service, this.#context.countEntries());
  }

  #remainingMilliseconds(): number {
    return this.#call.deadlineAt - this.#context.clock.monotonicMilliseconds();
  }

  /** Whether its first event can no longer be on time. */
  #isLate(): boolean {
    return !this.#hasStarted && this.#call.onTimeUntil <= this.#context.clock.monotonicMilliseconds();
  }

  /** Whether a target may have run the request. */
  #mayHaveRun(): boolean {
    return this.#executions.mayHaveRun;
  }

  /** Runs an attempt and those that start beside it. Returns the outcome, or null to try another target. */
  async #runAttempts(choice: ChosenTarget, signal: AbortSignal): Promise<string | null> {
    this.#start(choice, signal);
    let outcome: string | null = null;
    while (this.#running.size > 0) {
      const { attempt, end } = await this.#running.nextEnd();
      this.#call.log.addAttempt(describeStreamAttempt(attempt, end, this.#context.clock));
      const ended = this.#recordEnd(attempt, end);
      outcome ??= ended;
    }
    return outcome;
  }

  #start(choice: ChosenTarget, signal: AbortSignal): void {
    const attempt: StreamAttempt = new StreamAttempt({
      context: this.#context,
      call: this.#call,
      choice,
      sequence: this.#sequence,
      timing: this.#timing,
      usesNewConnection: !this.#isResumable,
      reserved: this.#executions.reserve(choice),
      onStalled: () => this.#startBeside(attempt, signal),
      onDelivery: () => this.#running.all.filter((other) => other !== attempt)
        .forEach((other) => other.supersede()),
    });
    this.#running.add(attempt, this.#serveAttempt(attempt, signal));
  }

  async #serveAttempt(attempt: StreamAttempt, signal: AbortSignal): Promise<StreamAttemptOutcome> {
    const { clock, quarantine, trafficMeter } = this.#context;
    const { metadata: { model }, suspects, deadlineAt } = this.#call;
    const lateModel = this.#isLate() ? model : null;
    if (lateModel !== null) {
      trafficMeter.recordLateStart(lateModel);
    }
    quarantine.recordSend(suspects);
    const end = await attempt.serve(timerUntil(clock, deadlineAt), signal);
    if (lateModel !== null) {
      trafficMeter.recordLateEnd(lateModel);
    }
    // Awaited before the attempt counts as ended, so that none starts meanwhile in its place.
    await this.#reportLoss(attempt, end);
    return end;
  }

  /** Starts a second attempt beside a silent one, if all that it needs is there now. */
  #startBeside(silent: StreamAttempt, signal: AbortSignal): void {
    const { peer, entry: { worker } } = silent.choice.candidate;
    if (peer === null) {
      this.#context.paths.recordFailure(worker);
    }
    if (silent === this.#running.all.at(-1)) {
      const lacking = this.#tryStartBeside(signal);
      if (lacking !== null) {
        this.#call.log.set('moveLacked', lacking);
      }
    }
  }

  /** Starts an attempt beside those that run. Returns what is lacking for it, or null. */
  #tryStartBeside(signal: AbortSignal): string | null {
    if (!this.#executions.canRepeat || this.#refusals >= MAXIMUM_REFUSALS) {
      return 'attempts';
    }
    if (this.#isHeldBack) {
      return 'prompt-quarantined';
    }
    const tried = new Set([
      ...this.#excluded, ...this.#running.all.map(({ choice: { candidate } }) => candidate.entry.worker.id),
    ]);
    const choice = pickTarget(this.#context, this.#call, tried, true);
    if (choice.kind === 'none') {
      return choice.reason;
    }
    if (!this.#tryRetry()) {
      return 'repeat';
    }
    this.#start(choice, signal);
    return null;
  }

  /** Reports the loss of a connection under a stream that was not under way. */
  async #reportLoss(attempt: StreamAttempt, end: StreamAttemptOutcome): Promise<void> {
    const { log, suspects } = this.#call;
    const { peer, entry: { worker } } = attempt.choice.candidate;
    if (peer === null && end.kind === 'broken' && end.connectionLost && !attempt.isUnderWay) {
      log.set('suspects', suspects.join(' '));
      await this.#context.crashReporter.reportLoss(worker, suspects);
    }
  }

  /** Records how an attempt ended. Returns the outcome, or null if another attempt may serve the stream. */
  #recordEnd(attempt: StreamAttempt, end: StreamAttemptOutcome): string | null {
    const {
      state, formation, peer, entry: { worker },
    } = attempt.choice.candidate;
    if (peer === null && (end.kind === 'unsent' || (end.kind === 'broken' && attempt.events === 0))) {
      this.#context.paths.recordFailure(worker);
    }
    this.#executions.release(attempt.reserved, mayHaveRun(end));
    if (end.kind === 'unsent' && isRefusedConnection(end.reason)) {
      state.recordAbsence({ bornAt: worker.bornAt, formation });
      return null;
    }
    this.#excluded.add(worker.id);
    switch (end.kind) {
      case 'complete':
        state.recordSuccess(0);
        return 'answered';
      case 'failed':
        this.#deliveries += 1;
        this.#failureAnswer = end.answer;
        return this.#running.size > 0 || (this.#call.outgoing.headersSent && this.#executions.canRepeat)
          ? null : this.#fail(`status ${end.answer.status}`);
      case 'passed-back':
        this.#deliveries += 1;
        return this.#running.size > 0 ? null : this.#passBack(end.answer);
      case 'not-executed':
        // An entry that declines has sent the request nowhere.
        this.#deliveries += peer === null ? 1 : 0;
        state.recordUnreachable();
        return this.#recordRefusal(end.reason);
      case 'unsent':
        state.recordUnreachable();
        return this.#recordRefusal(end.reason);
      case 'superseded':
        this.#deliveries += 1;
        this.#leftTarget = worker.id;
        return null;
      case 'broken':
        this.#deliveries += 1;
        state.recordFailure();
        return this.#running.size > 0 || this.#executions.canRepeat ? null : this.#fail(end.reason);
      default:
        return end satisfies never;
    }
  }

  #recordRefusal(reason: string): string | null {
    this.#refusals += 1;
    return this.#running.size > 0 || this.#refusals < MAXIMUM_REFUSALS ? null : this.#fail(reason);
  }

  /** Passes the refusal or the failure of another entry on, unless it promises what is not true here. */
  #passBack({ status, headers, body }: FailureAnswer): string {
    const { outgoing } = this.#call;
    if (outgoing.headersSent || (this.#mayHaveRun() && isNotRunStatus(status))) {
      return this.#fail(`another entry answered ${status}`);
    }
    outgoing.writeHead(status, { ...headers, 'content-length': String(body.length) }).end(body);
    return 'passed-back';
  }

  #refuse(error: ServingError): string {
    writeRefusal(this.#call.outgoing, error);
    return error.kind;
  }

  /**
   * Fails a stream that cannot continue: aborts its answer if that has begun, refuses it otherwise.
   * Does nothing when the answer has ended, be it by another attempt or by the end of this entry.
   */
  #fail(reason: string): string {
    const { outgoing, log } = this.#call;
    if (outgoing.writableEnded) {
      return 'answered';
    }
    log.set('detail', reason);
    if (this.#leftTarget !== null && this.#remainingMilliseconds() > 0) {
      log.set('leftTarget', this.#leftTarget);
      this.#context.metrics.count('gateway.failed_moves');
    }
    if (outgoing.headersSent) {
      abortAnswer(outgoing);
      return 'stream-cut';
    }
    if (this.#failureAnswer !== null) {
      const { status, headers, body } = this.#failureAnswer;
      outgoing.writeHead(status, { ...headers, 'content-length': String(body.length) }).end(body);
      return 'target-failure';
    }
    if (!this.#mayHaveRun()) {
      return this.#refuse(new ServingError(reason, { kind: 'target-refused', retryAfterSeconds: 0.3 }));
    }
    return this.#refuse(new ServingError(reason, {
      kind: this.#remainingMilliseconds() <= 0 ? 'target-timeout' : 'target-lost',
    }));
  }
}
