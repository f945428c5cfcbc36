import { ServingError, type WorkerId } from '@dandelionlane/core';
import type ChosenTarget from '../choice/ChosenTarget.js';
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
import findRefusal from '../quarantine/findRefusal.js';
import isRefusedConnection from '../targets/isRefusedConnection.js';
import recordPlainAnswer from '../targets/recordPlainAnswer.js';
import type AnswerClassification from './AnswerClassification.js';
import ExecutionBudget from './ExecutionBudget.js';
import MISDIRECTED_STATUS from './MISDIRECTED_STATUS.js';
import type ExchangeOutcome from './ExchangeOutcome.js';
import allowsBody from './allowsBody.js';
import PlainExchange from './PlainExchange.js';
import RunningAttempts from './RunningAttempts.js';
import classifyAnswer from './classifyAnswer.js';
import classifyPeerAnswer from './classifyPeerAnswer.js';
import endsWithConnection from './endsWithConnection.js';
import isNotRunStatus from './isNotRunStatus.js';
import removeHopByHopHeaders from './removeHopByHopHeaders.js';

/** Time after which the answer to an idempotent request is overdue, in target latencies. */
const OVERDUE_FACTOR = 3;

/** Limit on targets that are tried and do not run the request, besides those where nobody listens. */
const MAXIMUM_REFUSALS = 3;

/** Time after which a target that refused may accept the request, in s. */
const REFUSAL_RETRY_SECONDS = 0.2;

type CompleteAnswer = Extract<ExchangeOutcome, { kind: 'answered' }>;

function summarize(answer: ExchangeOutcome, classification: AnswerClassification | null): string {
  switch (answer.kind) {
    case 'answered':
      return `${answer.status} ${String(classification)}${answer.head.framed ? '' : ' without a length'}`;
    case 'failed':
      return answer.reason;
    case 'superseded':
      return answer.kind;
    default:
      return answer satisfies never;
  }
}

/** Whether the request may have run in an exchange that ended so. */
function mayHaveRun(answer: ExchangeOutcome, classification: AnswerClassification | null): boolean {
  switch (answer.kind) {
    case 'answered':
      return classification === 'passed-back'
        ? !isNotRunStatus(answer.status) : classification !== 'not-executed';
    case 'failed':
      return answer.sent;
    case 'superseded':
      return true;
    default:
      return answer satisfies never;
  }
}

/**
 * Serves a request whose answer is not a stream, trying one target after another. While the answer to an
 * idempotent request is overdue, another target is tried beside the first; the first own answer counts.
 *
 * Invariants: a non-idempotent request is sent to another target only while no target can have run it; a
 * target whose connection is sound is left only once another one has answered.
 */
export default class PlainRelay {
  readonly #context: GatewayContext;

  readonly #call: Call;

  readonly #isIdempotent: boolean;

  readonly #excluded = new Set<WorkerId>();

  readonly #running = new RunningAttempts<PlainExchange, ExchangeOutcome>();

  readonly #executions: ExecutionBudget;

  /** Targets that refused the request or could not be reached. */
  #refusals = 0;

  /** Targets that the request may have reached: each beyond the first counts as a retry. */
  #deliveries = 0;

  /** Failure answer of a target, which is passed on if no other target answers. */
  #failureAnswer: CompleteAnswer | null = null;

  constructor(context: GatewayContext, call: Call) {
    this.#context = context;
    this.#call = call;
    this.#isIdempotent = call.route.request.kind === 'idempotent';
    this.#executions = new ExecutionBudget(call, this.#isIdempotent);
  }

  /** Serves the request to its end. Returns the outcome for the log. */
  async serve(signal: AbortSignal): Promise<string> {
    let hasTurn = false;
    while (!signal.aborted) {
      const quarantined = await this.#refuseQuarantined();
      if (quarantined !== null) {
        return quarantined;
      }
      if (signal.aborted) {
        return 'caller-gone';
      }
      const choice = this.#choose(signal, hasTurn);
      hasTurn = false;
      if (typeof choice === 'string') {
        return choice;
      }
      if (choice === null) {
        const refused = await this.#waitForSlot(signal);
        if (refused !== null) {
          return refused;
        }
        // A part of the request may have been quarantined meanwhile, and the slot taken.
        hasTurn = true;
        continue;
      }
      const outcome = await this.#runExchanges(choice, signal);
      if (outcome !== null) {
        return outcome;
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
    return this.#executions.mayHaveRun ? this.#fail(refusal.message) : this.#refuse(refusal);
  }

  /**
   * Chooses the next target. Returns the outcome when there is none, or null if the request has to wait.
   * @param hasTurn Whether it has waited until its turn.
   */
  #choose(signal: AbortSignal, hasTurn: boolean): ChosenTarget | string | null {
    if (this.#remainingMilliseconds() <= 0) {
      return this.#executions.mayHaveRun ? this.#fail('deadline passed') : this.#refuse(new ServingError(
        'deadline passed before a target took the request',
        { kind: 'deadline-unreachable' },
      ));
    }
    const request = this.#toWaiting(signal);
    if (!hasTurn && this.#hasToQueue(request)) {
      return null;
    }
    const choice = request.choose();
    if (choice.kind === 'none' && choice.reason === 'all-full' && !this.#executions.mayHaveRun) {
      return null;
    }
    if (choice.kind === 'none') {
      this.#call.log.set('lack', describeLack(choice));
      if (choice.reason === 'no-path' && this.#deliveries === 0) {
        declineForEntry(this.#context, this.#call);
      }
      return this.#executions.mayHaveRun ? this.#fail(choice.reason) : this.#refuse(
        refuseForLack(this.#context, this.#call, choice, null),
      );
    }
    if (!hasTurn) {
      this.#context.admissionQueue.recordUnqueued(request);
    }
    if (this.#deliveries > 0 && !this.#tryRetry()) {
      return this.#executions.mayHaveRun ? this.#fail('no repeat left in the budget') : this.#refuse(new ServingError(
        'targets refused and no repeat is left',
        { kind: 'target-refused' },
      ));
    }
    return choice;
  }

  /** The request as one that waits for a target as long as an answer can still come in time. */
  #toWaiting(signal: AbortSignal): Parameters<AdmissionQueue['wait']>[0] {
    const {
      route, metadata: { model }, onTimeUntil, deadlineAt, team,
    } = this.#call;
    return {
      queueKey: queueKeyOf(this.#call),
      model,
      priority: priorityOf(this.#call),
      team: isRanked(this.#context, this.#call) ? team?.id ?? null : null,
      onTimeUntil,
      until: deadlineAt - route.targetLatencyMilliseconds,
      signal,
      choose: () => pickTarget(this.#context, this.#call, this.#excluded),
    };
  }

  /** Whether others that wait are more urgent, or their teams have had less, so that it may not go first. */
  #hasToQueue(request: Parameters<AdmissionQueue['wait']>[0]): boolean {
    const { admissionQueue, clock, paths } = this.#context;
    const isNew = !this.#executions.mayHaveRun && this.#refusals === 0 && this.#deliveries === 0;
    return isNew && clock.monotonicMilliseconds() < request.until
      && !paths.isLost(this.#call.service) && admissionQueue.goesBehind(request);
  }

  /**
   * Waits until a target has a free slot, as long as an answer can still come in time. Returns the outcome
   * when the request is refused, or null if a slot is free.
   */
  async #waitForSlot(signal: AbortSignal): Promise<string | null> {
    const { admissionQueue, clock } = this.#context;
    const { log } = this.#call;
    const startedAt = clock.monotonicMilliseconds();
    const request = this.#toWaiting(signal);
    const waited = request.until <= startedAt
      ? { kind: 'unserved', full: 'targets' } as const : await admissionQueue.wait(request, this.#hasToQueue(request));
    log.set('waitedMilliseconds', Math.round(clock.monotonicMilliseconds() - startedAt));
    if (waited.kind === 'served' || signal.aborted) {
      return waited.kind === 'served' ? null : 'caller-gone';
    }
    const choice = waited.kind === 'rejected'
      ? { kind: 'none', reason: 'queue-full', retryAfterMilliseconds: waited.retryAfterMilliseconds } as const
      : { kind: 'none', reason: 'all-full' } as const;
    log.set('lack', describeLack(choice));
    const full = waited.kind === 'rejected' ? 'time' : waited.full;
    return this.#refuse(refuseForLack(this.#context, this.#call, choice, full));
  }

  /** Runs an exchange and those that start beside it. Returns the outcome, or null to try another target. */
  async #runExchanges(choice: ChosenTarget, signal: AbortSignal): Promise<string | null> {
    this.#start(choice, signal);
    let outcome: string | null = null;
    while (this.#running.size > 0) {
      const { attempt, end } = await this.#running.nextEnd();
      const ended = this.#recordEnd(attempt, end);
      outcome ??= ended;
    }
    return signal.aborted ? 'caller-gone' : outcome;
  }

  #start(choice: ChosenTarget, signal: AbortSignal): void {
    const context = this.#context;
    const call = this.#call;
    let isOverdue = false;
    const exchange = new PlainExchange({
      context,
      call,
      choice,
      usesNewConnection: !this.#isIdempotent,
      reserved: this.#executions.reserve(choice),
      timeoutMilliseconds: timerUntil(context.clock, call.deadlineAt),
      overdueMilliseconds: this.#overdueMilliseconds,
      signal,
      onOverdue: () => {
        if (!isOverdue) {
          isOverdue = true;
          choice.candidate.state.recordFailure();
          if (choice.candidate.peer === null) {
            context.paths.recordFailure(choice.candidate.entry.worker);
          }
        }
        this.#startBeside(signal);
      },
    });
    this.#running.add(exchange, this.#runExchange(exchange));
  }

  async #runExchange(exchange: PlainExchange): Promise<ExchangeOutcome> {
    const { quarantine, crashReporter } = this.#context;
    const { suspects, log } = this.#call;
    const { peer, entry: { worker } } = exchange.choice.candidate;
    quarantine.recordSend(suspects);
    const outcome = await exchange.run();
    if (peer === null && outcome.kind === 'failed' && outcome.connectionLost) {
      log.set('suspects', suspects.join(' '));
      // Awaited before the exchange counts as ended, so that none starts meanwhile in its place.
      await crashReporter.reportLoss(worker, suspects);
    }
    return outcome;
  }

  /** Time after which an answer is overdue, in ms; null where it may run once or has no target latency. */
  get #overdueMilliseconds(): number | null {
    const { targetLatencyMilliseconds } = this.#call.route;
    return this.#isIdempotent && targetLatencyMilliseconds > 0
      ? targetLatencyMilliseconds * OVERDUE_FACTOR : null;
  }

  /** Starts another exchange beside those that run, if all that it needs is there now. */
  #startBeside(signal: AbortSignal): void {
    if (this.#refusals >= MAXIMUM_REFUSALS || this.#context.quarantine.find(this.#call.suspects) !== null
      || !this.#executions.canRepeat) {
      return;
    }
    const tried = new Set([
      ...this.#excluded, ...this.#running.all.map(({ choice: { candidate } }) => candidate.entry.worker.id),
    ]);
    const choice = pickTarget(this.#context, this.#call, tried);
    if (choice.kind === 'chosen' && this.#tryRetry()) {
      this.#start(choice, signal);
    }
  }

  /** Records how an exchange ended. Returns the outcome, or null if another target may answer. */
  #recordEnd(exchange: PlainExchange, answer: ExchangeOutcome): string | null {
    const { choice } = exchange;
    const durationMilliseconds = this.#context.clock.monotonicMilliseconds() - exchange.startedAt;
    const classify = choice.candidate.peer === null ? classifyAnswer : classifyPeerAnswer;
    const classification = answer.kind === 'answered'
      ? classify(answer.status, answer.head, this.#call.metadata.requestId) : null;
    this.#executions.release(exchange.reserved, mayHaveRun(answer, classification));
    const summary = this.#logAttempt(choice, answer, classification, durationMilliseconds);
    if (answer.kind === 'answered' && (classification === 'own' || classification === 'failure')) {
      this.#context.quarantine.recordServed(this.#call.suspects);
    }
    if (answer.kind === 'answered' && classification === 'own') {
      this.#running.all.forEach((other) => other.supersede());
      choice.candidate.state.recordSuccess(durationMilliseconds);
      recordPlainAnswer(this.#context.states, this.#context.clock, choice.candidate, {
        kind: `${this.#call.service}/${this.#call.route.name}`,
        milliseconds: durationMilliseconds,
        outstanding: exchange.outstanding,
      });
      this.#writeAnswer(answer);
      return 'answered';
    }
    if (answer.kind === 'superseded') {
      return null;
    }
    if (answer.kind === 'answered' && classification === 'passed-back') {
      this.#deliveries += 1;
      return this.#running.size > 0 ? null : this.#passBack(answer);
    }
    this.#recordFailedAttempt(choice, answer, classification);
    return this.#running.size > 0 ? null : this.#endAfterFailure(summary);
  }

  #tryRetry(): boolean {
    return this.#context.budget.tryRetry(this.#call.service, this.#context.countEntries());
  }

  #remainingMilliseconds(): number {
    return this.#call.deadlineAt - this.#context.clock.monotonicMilliseconds();
  }

  /** Adds an exchange to the log line and returns how it ended. */
  #logAttempt(
    { candidate, load, candidates }: ChosenTarget,
    answer: ExchangeOutcome,
    classification: AnswerClassification | null,
    durationMilliseconds: number,
  ): string {
    const summary = summarize(answer, classification);
    this.#call.log.addAttempt(
      `${candidate.entry.worker.id} load=${load.toFixed(1)}/${candidates} ${summary} ${Math.round(durationMilliseconds)}ms`,
    );
    return summary;
  }

  /** Records an exchange that did not end with the target's own answer. */
  #recordFailedAttempt(
    {
      candidate: {
        state, entry: { worker }, formation, peer,
      },
    }: ChosenTarget,
    answer: Exclude<ExchangeOutcome, { kind: 'superseded' }>,
    classification: AnswerClassification | null,
  ): void {
    if (answer.kind === 'failed' && peer === null) {
      this.#context.paths.recordFailure(worker);
    }
    if (answer.kind === 'failed' && !answer.sent && isRefusedConnection(answer.reason)) {
      state.recordAbsence({ bornAt: worker.bornAt, formation });
      return;
    }
    this.#excluded.add(worker.id);
    if (answer.kind === 'failed' && !answer.sent) {
      state.recordUnreachable();
      this.#refusals += 1;
      return;
    }
    if (classification === 'not-executed' && peer !== null) {
      // An entry that declines has sent the request nowhere.
      state.recordUnreachable();
      this.#refusals += 1;
      return;
    }
    this.#deliveries += 1;
    if (classification === 'not-executed') {
      this.#refusals += 1;
      if (answer.kind === 'answered' && answer.status !== MISDIRECTED_STATUS) {
        state.recordFailure();
      }
      return;
    }
    state.recordFailure();
    if (answer.kind === 'answered' && classification === 'failure') {
      this.#failureAnswer = answer;
    }
  }

  /** Returns the outcome if no other target may be tried after a failure, or null. */
  #endAfterFailure(summary: string): string | null {
    if (this.#executions.mayHaveRun && !this.#executions.canRepeat) {
      return this.#fail(summary);
    }
    if (this.#refusals < MAXIMUM_REFUSALS) {
      return null;
    }
    return this.#executions.mayHaveRun ? this.#fail(summary) : this.#refuse(new ServingError(
      'targets refused the request',
      { kind: 'target-refused', retryAfterSeconds: REFUSAL_RETRY_SECONDS },
    ));
  }

  /** Passes an answer on. Does nothing when this entry has answered the request itself, at its end. */
  #writeAnswer({
    status, headers, body, head,
  }: CompleteAnswer): void {
    const { method, outgoing, origin } = this.#call;
    if (outgoing.headersSent) {
      return;
    }
    const { unframedHeaders } = this.#context.wire;
    const forwarded = removeHopByHopHeaders(headers);
    if (origin === 'caller' && endsWithConnection(method, status, head.framed)) {
      // A target that lives may have broken it off, too: a length would assert that it is whole.
      outgoing.useChunkedEncodingByDefault = false;
      outgoing.shouldKeepAlive = false;
      ['content-length', ...Object.keys(unframedHeaders)].forEach((name) => Reflect.deleteProperty(forwarded, name));
    } else if (allowsBody(method, status)) {
      forwarded['content-length'] = String(body.length);
      Object.assign(forwarded, head.framed ? {} : unframedHeaders);
    }
    outgoing.writeHead(status, forwarded);
    outgoing.end(body);
  }

  /** Passes the refusal or the failure of another entry on, unless it promises what is not true here. */
  #passBack(answer: CompleteAnswer): string {
    if (this.#executions.mayHaveRun && isNotRunStatus(answer.status)) {
      return this.#fail(`another entry answered ${answer.status}`);
    }
    this.#writeAnswer(answer);
    return 'passed-back';
  }

  /** Fails a request that a target may have run, with the failure answer of a target if there is one. */
  #fail(reason: string): string {
    this.#call.log.set('detail', reason);
    if (this.#failureAnswer !== null) {
      this.#writeAnswer(this.#failureAnswer);
      return 'target-failure';
    }
    return this.#refuse(new ServingError(reason, {
      kind: this.#remainingMilliseconds() <= 0 ? 'target-timeout' : 'target-lost',
    }));
  }

  #refuse(error: ServingError): string {
    writeRefusal(this.#call.outgoing, error);
    return error.kind;
  }
}
