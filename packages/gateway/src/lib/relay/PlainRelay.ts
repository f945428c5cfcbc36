import { ServingError, type WorkerId } from '@dandelionlane/core';
import type Choice from '../choice/Choice.js';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import pickTarget from '../requests/pickTarget.js';
import createRefusal from '../requests/createRefusal.js';
import timerUntil from '../requests/timerUntil.js';
import writeRefusal from '../requests/writeRefusal.js';
import type AnswerClassification from './AnswerClassification.js';
import MISDIRECTED_STATUS from './MISDIRECTED_STATUS.js';
import type ExchangeOutcome from './ExchangeOutcome.js';
import writeAnswerHead from './writeAnswerHead.js';
import exchangePlain from './exchangePlain.js';
import classifyAnswer from './classifyAnswer.js';
import removeHopByHopHeaders from './removeHopByHopHeaders.js';

/** Wait for an idempotent answer, in target latencies, after which another target is asked. */
const PATIENCE_FACTOR = 3;

/** Most targets that are tried without having run the request. */
const MAXIMUM_REFUSALS = 3;

/** When a target that refused may take the request, in seconds. */
const REFUSAL_RETRY_SECONDS = 0.2;

type Answered = Extract<ExchangeOutcome, { kind: 'answered' }>;

type Chosen = Extract<Choice, { kind: 'chosen' }>;

/**
 * Serves a request whose answer is no stream, over one or more targets.
 *
 * Invariant: a request that may not be repeated is sent on only while no target can have run it.
 */
export default class PlainRelay {
  readonly #parts: GatewayContext;

  readonly #call: Call;

  readonly #idempotent: boolean;

  readonly #excluded = new Set<WorkerId>();

  /** Targets that may have run the request. */
  #runs = 0;

  /** Targets that did not take the request. */
  #refusals = 0;

  /** Targets that the request may have reached: each beyond the first is a repeat. */
  #arrivals = 0;

  /** Failure of a target, for the case that no other does better. */
  #kept: Answered | null = null;

  constructor(parts: GatewayContext, call: Call) {
    this.#parts = parts;
    this.#call = call;
    this.#idempotent = call.route.request.kind === 'idempotent';
  }

  /** Serves the request to its end. Returns the outcome for the log. */
  async serve(signal: AbortSignal): Promise<string> {
    while (!signal.aborted) {
      const choice = this.#choose();
      if (typeof choice === 'string') {
        return choice;
      }
      const outcome = await this.#attempt(choice, signal);
      if (outcome !== null) {
        return outcome;
      }
    }
    return 'caller-gone';
  }

  /** The next target, or the outcome when there is none. */
  #choose(): Chosen | string {
    if (this.#remaining() <= 0) {
      return this.#runs > 0 ? this.#giveUp('deadline passed') : this.#refuse(new ServingError(
        'deadline passed before a target took the request',
        { kind: 'deadline-unreachable' },
      ));
    }
    const choice = pickTarget(this.#parts, this.#call, this.#excluded);
    if (choice.kind === 'none') {
      return this.#runs > 0 ? this.#giveUp(choice.reason) : this.#refuse(createRefusal(choice));
    }
    const { budget, countEntries } = this.#parts;
    if (this.#arrivals > 0 && !budget.tryRetry(this.#call.service, countEntries())) {
      return this.#runs > 0 ? this.#giveUp('no repeat left in the budget') : this.#refuse(new ServingError(
        'targets refused and no repeat is left',
        { kind: 'target-refused' },
      ));
    }
    return choice;
  }

  /** Asks one target. Returns the outcome, or null to try another one. */
  async #attempt(choice: Chosen, signal: AbortSignal): Promise<string | null> {
    const { candidate } = choice;
    const { clock } = this.#parts;
    const startedAt = clock.monotonicMilliseconds();
    const answer = await exchangePlain(this.#parts, this.#call, candidate, {
      usesNewConnection: !this.#idempotent, timeoutMilliseconds: this.#patience(), signal,
    });
    const took = clock.monotonicMilliseconds() - startedAt;
    const verdict = answer.kind === 'answered'
      ? classifyAnswer(answer.status, answer.head, this.#call.metadata.requestId) : null;
    const told = this.#note(choice, answer, verdict, took);
    if (answer.kind === 'answered' && verdict === 'own') {
      candidate.state.recordSuccess(took);
      this.#write(answer);
      return 'answered';
    }
    this.#settle(choice, answer, verdict);
    return signal.aborted ? 'caller-gone' : this.#endAfterFailure(told);
  }

  /** How long the next target is waited for, in ms. */
  #patience(): number {
    const { route, deadlineAt } = this.#call;
    const timeLeft = timerUntil(this.#parts.clock, deadlineAt);
    const mayRepeat = this.#idempotent && this.#runs + 1 < route.maximumAttempts;
    return mayRepeat ? Math.min(timeLeft, route.targetLatencyMilliseconds * PATIENCE_FACTOR) : timeLeft;
  }

  #remaining(): number {
    return this.#call.deadlineAt - this.#parts.clock.monotonicMilliseconds();
  }

  /** Notes an attempt for the log, and returns how it ended. */
  #note(
    { candidate, load, candidates }: Chosen,
    answer: ExchangeOutcome,
    verdict: AnswerClassification | null,
    took: number,
  ): string {
    const told = answer.kind === 'answered'
      ? `${answer.status} ${String(verdict)}${answer.head.framed ? '' : ' without a length'}` : answer.reason;
    this.#call.log.addAttempt(
      `${candidate.entry.worker.id} load=${load.toFixed(1)}/${candidates} ${told} ${Math.round(took)}ms`,
    );
    return told;
  }

  /** Counts an attempt that brought no answer of the target's own. */
  #settle(
    { candidate: { state, entry } }: Chosen,
    answer: ExchangeOutcome,
    verdict: AnswerClassification | null,
  ): void {
    this.#excluded.add(entry.worker.id);
    if (answer.kind === 'failed' && !answer.sent) {
      state.recordUnreachable();
      this.#refusals += 1;
      return;
    }
    this.#arrivals += 1;
    if (verdict === 'not-executed') {
      this.#refusals += 1;
      if (answer.kind === 'answered' && answer.status !== MISDIRECTED_STATUS) {
        state.recordFailure();
      }
      return;
    }
    this.#runs += 1;
    state.recordFailure();
    if (answer.kind === 'answered' && verdict === 'failure') {
      this.#kept = answer;
    }
  }

  /** The outcome if no other target may be asked after a failure, or null. */
  #endAfterFailure(told: string): string | null {
    if (this.#runs > 0 && (!this.#idempotent || this.#runs >= this.#call.route.maximumAttempts)) {
      return this.#giveUp(told);
    }
    if (this.#refusals < MAXIMUM_REFUSALS) {
      return null;
    }
    return this.#runs > 0 ? this.#giveUp(told) : this.#refuse(new ServingError(
      'targets refused the request',
      { kind: 'target-refused', retryAfterSeconds: REFUSAL_RETRY_SECONDS },
    ));
  }

  #write({
    status, headers, body, head,
  }: Answered): void {
    const { method, outgoing } = this.#call;
    const passed = removeHopByHopHeaders(headers);
    if (method !== 'HEAD' && head.framed) {
      passed['content-length'] = String(body.length);
    }
    writeAnswerHead(outgoing, status, passed, head.framed);
    outgoing.end(body);
  }

  /** Ends a request that a target may have run: with the failure of a target where there is one. */
  #giveUp(reason: string): string {
    this.#call.log.set('detail', reason);
    if (this.#kept !== null) {
      this.#write(this.#kept);
      return 'target-failure';
    }
    return this.#refuse(new ServingError(reason, {
      kind: this.#remaining() <= 0 ? 'target-timeout' : 'target-lost',
    }));
  }

  #refuse(error: ServingError): string {
    writeRefusal(this.#call.outgoing, error);
    return error.kind;
  }
}
