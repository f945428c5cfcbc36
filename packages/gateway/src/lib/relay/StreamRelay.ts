import { ServingError, type WorkerId } from '@dandelionlane/core';
import type Candidate from '../choice/Candidate.js';
import type Choice from '../choice/Choice.js';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import pickTarget from '../requests/pickTarget.js';
import createRefusal from '../requests/createRefusal.js';
import timerUntil from '../requests/timerUntil.js';
import writeRefusal from '../requests/writeRefusal.js';
import EventSequence from './EventSequence.js';
import type StreamAttemptOutcome from './StreamAttemptOutcome.js';
import abortAnswer from './abortAnswer.js';
import StreamAttempt from './StreamAttempt.js';
import StreamTiming from './StreamTiming.js';

/** Most targets that are tried without having run the request. */
const MAXIMUM_REFUSALS = 4;

/**
 * Longest time that a request waits for a target, in ms: callers give a silent stream up after 2 s,
 * and the first event takes some hundred ms.
 */
const MAXIMUM_WAIT_MILLISECONDS = 1_500;

/**
 * Serves one stream of events over one or more runs.
 *
 * Invariants: each event goes to the caller once and in order, whole; the answer ends as complete
 * only when a run ended as complete; a stream that may not be resumed is run at most once.
 */
export default class StreamRelay {
  readonly #parts: GatewayContext;

  readonly #call: Call;

  readonly #order: EventSequence;

  readonly #timing = new StreamTiming();

  readonly #excluded = new Set<WorkerId>();

  #runs = 0;

  #arrivals = 0;

  #refusals = 0;

  constructor(parts: GatewayContext, call: Call) {
    this.#parts = parts;
    this.#call = call;
    this.#order = new EventSequence(call.metadata.lastEventId);
  }

  /** Serves the stream to its end. Returns the outcome for the log. */
  async serve(signal: AbortSignal): Promise<string> {
    const outcome = await this.#serveRuns(signal);
    const { firstEventAt, longestPauseMilliseconds } = this.#timing;
    if (firstEventAt !== null) {
      this.#call.log.set('firstEventMilliseconds', Math.round(firstEventAt - this.#call.receivedAt));
      this.#call.log.set('longestPauseMilliseconds', Math.round(longestPauseMilliseconds));
    }
    return outcome;
  }

  async #serveRuns(signal: AbortSignal): Promise<string> {
    while (!signal.aborted) {
      if (this.#remaining() <= 0) {
        return this.#giveUp('deadline passed');
      }
      const choice = await this.#choose(signal);
      if (signal.aborted) {
        return 'caller-gone';
      }
      if (choice.kind === 'none') {
        return this.#hasBegun() ? this.#giveUp(choice.reason) : this.#refuse(createRefusal(choice));
      }
      if (this.#arrivals > 0 && !this.#tryRepeat()) {
        return this.#giveUp('no repeat left in the budget');
      }
      const end = await this.#run(choice, signal);
      const outcome = this.#settle(end, choice.candidate);
      if (outcome !== null) {
        return signal.aborted ? 'caller-gone' : outcome;
      }
    }
    return 'caller-gone';
  }

  /** Chooses a target, and waits for one where none is free. */
  async #choose(signal: AbortSignal): Promise<Choice> {
    const choose = () => pickTarget(this.#parts, this.#call, this.#excluded, this.#goesOn);
    const choice = choose();
    if (choice.kind === 'chosen') {
      return choice;
    }
    const { clock, admissionQueue: waitingRoom } = this.#parts;
    const {
      metadata, service, receivedAt, onTimeUntil, deadlineAt, log,
    } = this.#call;
    const startedAt = clock.monotonicMilliseconds();
    const waitsFrom = this.#hasBegun() ? startedAt : receivedAt;
    const until = Math.min(deadlineAt, waitsFrom + MAXIMUM_WAIT_MILLISECONDS);
    if (choice.reason === 'all-held-off' && startedAt + choice.retryAfterMilliseconds >= until) {
      return choice;
    }
    const waited = await waitingRoom.wait({
      queueKey: `${service}/${metadata.model ?? ''}`,
      model: metadata.model,
      // A stream that has begun comes before late ones, and after those that can still be on time.
      onTimeUntil: this.#hasBegun() ? until : onTimeUntil,
      until,
      signal,
      choose,
    });
    log.set('waitedMilliseconds', Math.round(clock.monotonicMilliseconds() - startedAt));
    switch (waited.kind) {
      case 'served':
        return waited.choice;
      case 'unserved':
        return choice;
      case 'hopeless':
        return { kind: 'none', reason: 'queue-full', retryAfterMilliseconds: waited.retryAfterMilliseconds };
      default:
        return waited satisfies never;
    }
  }

  /** Whether a target has begun the stream, so that it has to go on at once. */
  get #goesOn(): boolean {
    return this.#hasBegun() || this.#order.lastId !== null;
  }

  get #resumable(): boolean {
    const { request } = this.#call.route;
    return request.kind === 'stream' && request.resumable;
  }

  #tryRepeat(): boolean {
    return this.#parts.budget.tryRetry(this.#call.service, this.#parts.countEntries());
  }

  #remaining(): number {
    return this.#call.deadlineAt - this.#parts.clock.monotonicMilliseconds();
  }

  /** Whether a target may have run the request. */
  #hasBegun(): boolean {
    return this.#runs > 0;
  }

  async #run(choice: Extract<Choice, { kind: 'chosen' }>, signal: AbortSignal): Promise<StreamAttemptOutcome> {
    const { candidate } = choice;
    const startedAt = this.#parts.clock.monotonicMilliseconds();
    const run = new StreamAttempt({
      context: this.#parts,
      call: this.#call,
      candidate,
      prediction: choice.prediction,
      sequence: this.#order,
      timing: this.#timing,
      usesNewConnection: !this.#resumable,
      canMove: () => this.#mayRunAgain() && this.#hasAlternative(candidate),
    });
    const end = await run.serve(timerUntil(this.#parts.clock, this.#call.deadlineAt), signal);
    const took = Math.round(this.#parts.clock.monotonicMilliseconds() - startedAt);
    const formation = candidate.formation === '' ? '' : `@${candidate.formation}`;
    const expected = choice.prediction === null
      ? '' : ` expected=${Math.round(choice.prediction.firstEventMilliseconds)}ms`;
    this.#call.log.addAttempt(`${candidate.entry.worker.id}${formation} load=${choice.load.toFixed(1)}/${choice.candidates}${expected}`
      + ` ${end.kind}${'reason' in end ? ` (${end.reason})` : ''} events=${run.events} ${took}ms`);
    return end;
  }

  /** Whether one more run is allowed after the one under way. */
  #mayRunAgain(): boolean {
    return this.#resumable && this.#runs + 1 < this.#call.route.maximumAttempts;
  }

  #hasAlternative(candidate: Candidate): boolean {
    const excluded = new Set([...this.#excluded, candidate.entry.worker.id]);
    return pickTarget(this.#parts, this.#call, excluded, true).kind === 'chosen';
  }

  /** Draws the consequence of a run's end: the outcome, or null to try another target. */
  #settle(end: StreamAttemptOutcome, candidate: Candidate): string | null {
    const { state, entry: { worker } } = candidate;
    this.#excluded.add(worker.id);
    switch (end.kind) {
      case 'complete':
        state.recordSuccess(0);
        return 'answered';
      case 'passed':
        return 'target-failure';
      case 'not-executed':
        this.#arrivals += 1;
        state.recordUnreachable();
        return this.#refusedOnce(end.reason);
      case 'unsent':
        state.recordUnreachable();
        return this.#refusedOnce(end.reason);
      case 'broken': {
        const again = this.#mayRunAgain();
        this.#arrivals += 1;
        this.#runs += 1;
        state.recordFailure();
        return again ? null : this.#giveUp(end.reason);
      }
      default:
        return end satisfies never;
    }
  }

  #refusedOnce(reason: string): string | null {
    this.#refusals += 1;
    return this.#refusals >= MAXIMUM_REFUSALS ? this.#giveUp(reason) : null;
  }

  #refuse(error: ServingError): string {
    writeRefusal(this.#call.outgoing, error);
    return error.kind;
  }

  /** Ends a stream that cannot go on: cuts one that has begun, refuses another. */
  #giveUp(reason: string): string {
    const { outgoing, log } = this.#call;
    log.set('detail', reason);
    if (outgoing.headersSent) {
      abortAnswer(outgoing);
      return 'stream-cut';
    }
    if (!this.#hasBegun()) {
      return this.#refuse(new ServingError(reason, { kind: 'target-refused', retryAfterSeconds: 0.3 }));
    }
    return this.#refuse(new ServingError(reason, {
      kind: this.#remaining() <= 0 ? 'target-timeout' : 'target-lost',
    }));
  }
}
