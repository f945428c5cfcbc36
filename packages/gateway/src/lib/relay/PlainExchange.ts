import { BodyBuffer } from '@dandelionlane/core';
import type ChosenTarget from '../choice/ChosenTarget.js';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import startAttempt from '../requests/startAttempt.js';
import type TargetAttempt from '../targets/TargetAttempt.js';
import recordAnswerHead from '../targets/recordAnswerHead.js';
import type AnswerHead from '../wire/AnswerHead.js';
import type AnswerMemory from './AnswerMemory.js';
import type EndCheck from '../targets/EndCheck.js';
import type ReservedExecutions from './ReservedExecutions.js';
import type ExchangeOutcome from './ExchangeOutcome.js';
import abortAnswer from './abortAnswer.js';
import UNCONFIRMED_END from './UNCONFIRMED_END.js';
import endsWithConnection from './endsWithConnection.js';

/** Largest answer that is held in memory, in bytes. */
const MAXIMUM_ANSWER_BYTES = 16 * 1_024 * 1_024;

/** Period in which an exchange that is overdue says so again, in ms. */
const OVERDUE_PERIOD_MILLISECONDS = 50;

type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Head of an answer whose body is being read. */
interface StartedAnswer {
  readonly status: number;
  readonly headers: AnswerHeaders;
  readonly head: AnswerHead;
}

/** Options of a `PlainExchange`. */
interface ExchangeOptions {
  readonly context: GatewayContext;
  readonly call: Call;
  readonly choice: ChosenTarget;
  readonly usesNewConnection: boolean;
  readonly reserved: ReservedExecutions;
  /** Time until the deadline of the request, in ms. */
  readonly timeoutMilliseconds: number;
  /** Time after which the answer is overdue, in ms; null if it never is. */
  readonly overdueMilliseconds: number | null;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Called when the answer is overdue, and again and again until it is there. */
  readonly onOverdue: () => void;
}

/** Sends a request to a target and reads the whole answer. */
export default class PlainExchange {
  readonly choice: ChosenTarget;

  readonly reserved: ReservedExecutions;

  readonly startedAt: number;

  /** Requests of this process at the target when it got this one, including it. */
  outstanding = 1;

  readonly #options: ExchangeOptions;

  readonly #body: BodyBuffer;

  readonly #held: ReturnType<AnswerMemory['add']>;

  #isAnswered = false;

  #answer: StartedAnswer | null = null;

  #attempt: TargetAttempt | null = null;

  /** Check of the end of an answer without a length. */
  #endCheck: EndCheck | null = null;

  #resolve: ((outcome: ExchangeOutcome) => void) | null = null;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.#body = new BodyBuffer(options.context.answerMemory.blocks);
    this.choice = options.choice;
    this.reserved = options.reserved;
    this.#held = options.context.answerMemory.add(() => this.#giveUp());
    this.startedAt = options.context.clock.monotonicMilliseconds();
  }

  /** Runs the exchange to its end. */
  async run(): Promise<ExchangeOutcome> {
    const {
      context, call, usesNewConnection, reserved,
      timeoutMilliseconds, overdueMilliseconds, signal, onOverdue,
    } = this.#options;
    const { candidate } = this.choice;
    const outcome = new Promise<ExchangeOutcome>((resolve) => {
      this.#resolve = resolve;
    });
    const onAbort = () => this.#abandon('caller left');
    let overdueTimer = overdueMilliseconds === null ? undefined : setTimeout(() => {
      onOverdue();
      overdueTimer = setInterval(onOverdue, OVERDUE_PERIOD_MILLISECONDS);
    }, overdueMilliseconds);
    const timer = setTimeout(() => this.#abandon('no answer in time'), timeoutMilliseconds);
    signal.addEventListener('abort', onAbort);
    candidate.state.outstanding += 1;
    this.outstanding = candidate.state.outstanding;
    try {
      this.#attempt = startAttempt(context, call, candidate, {
        lastEventId: null, usesNewConnection, reserved,
      }, {
        head: (status, headers) => this.#handleHead(status, headers),
        data: (chunk) => this.#handleData(chunk),
        ended: () => this.#handleEnd(),
        failed: (reason) => {
          const sent = this.#attempt?.sent === true;
          this.#settle({
            kind: 'failed', sent, reason, connectionLost: sent && this.#answer === null,
          });
        },
      });
      return await outcome;
    } finally {
      clearTimeout(timer);
      clearInterval(overdueTimer);
      signal.removeEventListener('abort', onAbort);
      candidate.state.outstanding -= 1;
    }
  }

  /** Ends the exchange, as another target has answered. */
  supersede(): void {
    this.#attempt?.abandon();
    this.#settle({ kind: 'superseded' });
  }

  #abandon(reason: string): void {
    const sent = this.#attempt?.sent === true;
    this.#attempt?.abandon();
    this.#settle({
      kind: 'failed', sent, reason, connectionLost: false,
    });
  }

  /** Gives the answer up for its bytes: the caller of one that has been passed on does not read it. */
  #giveUp(): void {
    if (this.#isAnswered) {
      abortAnswer(this.#options.call.outgoing);
    } else {
      this.#abandon('answers hold too many bytes');
    }
  }

  #settle(outcome: ExchangeOutcome): void {
    if (this.#resolve === null) {
      return;
    }
    this.#resolve(outcome);
    this.#resolve = null;
    this.#endCheck?.close();
    if (outcome.kind === 'answered') {
      this.#isAnswered = true;
      // Its bytes are held until the caller has read them.
      this.#options.context.answerMemory.finish(this.#held);
      this.#options.call.outgoing.once('close', () => this.#options.context.answerMemory.remove(this.#held));
    } else {
      this.#body.clear();
      this.#options.context.answerMemory.remove(this.#held);
    }
  }

  #handleHead(status: number, headers: AnswerHeaders): void {
    const { context, call } = this.#options;
    const head = context.wire.readAnswer(headers);
    this.#answer = { status, headers, head };
    const { candidate } = this.choice;
    candidate.state.recordProgress();
    if (candidate.peer === null) {
      recordAnswerHead(context, candidate, { status, head, requestId: call.metadata.requestId });
    }
    if (endsWithConnection(call.method, status, head.framed || head.framedByEntry)) {
      this.#endCheck = context.servingCheck.begin(candidate);
    }
  }

  #handleData(chunk: Buffer): void {
    if (this.#body.size + chunk.length > MAXIMUM_ANSWER_BYTES) {
      this.#abandon('answer is too large');
    } else {
      this.#body.push(chunk);
      this.#options.context.answerMemory.record(this.#held, this.#body.allocatedBytes);
    }
  }

  #handleEnd(): void {
    if (this.#answer === null) {
      this.#settle({
        kind: 'failed', sent: true, reason: 'answer without a head', connectionLost: false,
      });
      return;
    }
    const answer: ExchangeOutcome = { kind: 'answered', ...this.#answer, body: this.#body.toBuffer() };
    this.#body.clear();
    if (this.#endCheck === null) {
      this.#settle(answer);
    } else {
      void this.#settleUnframed(answer, this.#endCheck);
    }
  }

  /** Settles an answer without a length: it is whole if its target goes on. */
  async #settleUnframed(answer: ExchangeOutcome, endCheck: EndCheck): Promise<void> {
    this.#settle(await endCheck.isServing() ? answer : {
      kind: 'failed',
      sent: true,
      reason: UNCONFIRMED_END,
      connectionLost: false,
    });
  }
}
