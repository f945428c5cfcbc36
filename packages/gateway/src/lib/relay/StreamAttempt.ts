import { EventSplitter, type ModelName } from '@dandelionlane/core';
import type ChosenTarget from '../choice/ChosenTarget.js';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import startAttempt from '../requests/startAttempt.js';
import type EndCheck from '../targets/EndCheck.js';
import type RunningStream from '../targets/RunningStream.js';
import StreamSteps from '../targets/StreamSteps.js';
import type TargetAttempt from '../targets/TargetAttempt.js';
import recordAnswerHead from '../targets/recordAnswerHead.js';
import type AnswerMemory from './AnswerMemory.js';
import type EventSequence from './EventSequence.js';
import type ReservedExecutions from './ReservedExecutions.js';
import type StreamAttemptOutcome from './StreamAttemptOutcome.js';
import classifyAnswer from './classifyAnswer.js';
import abortAnswer from './abortAnswer.js';
import UNCONFIRMED_END from './UNCONFIRMED_END.js';
import endsWithConnection from './endsWithConnection.js';
import classifyPeerAnswer from './classifyPeerAnswer.js';
import removeHopByHopHeaders from './removeHopByHopHeaders.js';
import readEventId from './readEventId.js';
import type StreamTiming from './StreamTiming.js';

/** Status of an answer that is a stream. */
const OK = 200;

/**
 * Events from which on an attempt counts as under way: the target has outlived the start of the answer.
 */
const UNDER_WAY_EVENTS = 2;

/** Largest answer other than a stream that is passed on, in bytes. */
const MAXIMUM_FAILURE_BYTES = 256 * 1_024;

/** Bytes of events that bring a stream no further after which the target counts as faulty. */
const MAXIMUM_IDLE_BYTES = 256 * 1_024;

/** Check of an end that is never sound. */
const UNSOUND_END: EndCheck = { isServing: () => Promise.resolve(false), close: () => undefined };

const COLON = 0x3a;
const LINE_ENDS: ReadonlySet<number | undefined> = new Set([0x0a, 0x0d]);

/** Whether an event starts with a field. One of comments is passed on, and brings a stream no further. */
function hasField(event: Buffer): boolean {
  return event[0] !== COLON && !LINE_ENDS.has(event[0]);
}

/** Head of an answer as it is passed on to the caller. */
interface ForwardedHead {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly framed: boolean;
}

/** Input of a `StreamAttempt`. */
interface StreamAttemptOptions {
  readonly context: GatewayContext;
  readonly call: Call;
  readonly choice: ChosenTarget;
  readonly sequence: EventSequence;
  readonly timing: StreamTiming;
  readonly usesNewConnection: boolean;
  readonly reserved: ReservedExecutions;
  /** Called when the target has been silent for longer than a sound one usually is. */
  readonly onStalled: () => void;
  /** Called before events of this attempt, or its end as complete, are passed on to the caller. */
  readonly onDelivery: () => void;
}

/** One attempt at a stream: relays the events of one target to the caller. */
export default class StreamAttempt implements RunningStream {
  readonly #options: StreamAttemptOptions;

  /** Target of the attempt, with what decided for it. */
  readonly choice: ChosenTarget;

  readonly reserved: ReservedExecutions;

  readonly #splitter = new EventSplitter();

  readonly sentAt: number;

  readonly formation: string;

  readonly promptTokens: number;

  readonly expectedFirstEventMilliseconds: number;

  readonly model: ModelName | null;

  lastEventAt: number | null = null;

  paused = false;

  /** Events delivered by this attempt. */
  events = 0;

  /** Measures the steps of the target; null where another entry serves the stream, or none is learned. */
  readonly #steps: StreamSteps | null;

  #attempt: TargetAttempt | null = null;

  #head: ForwardedHead | null = null;

  /** Check of the end of an answer without a length. */
  #endCheck: EndCheck | null = null;

  #isStream = false;

  /** Whether another entry has refused or failed the request for good. */
  #isPassedBack = false;

  #refusal: StreamAttemptOutcome | null = null;

  readonly #failureChunks: Buffer[] = [];

  #failureBytes = 0;

  readonly #held: ReturnType<AnswerMemory['add']>;

  /** Bytes since the last event with data that was passed on. */
  #idleBytes = 0;

  #resolve: ((end: StreamAttemptOutcome) => void) | null = null;

  #hasEnded = false;

  constructor(options: StreamAttemptOptions) {
    this.#options = options;
    this.#held = options.context.answerMemory.add(() => this.#giveUp());
    this.sentAt = options.context.clock.monotonicMilliseconds();
    this.choice = options.choice;
    this.reserved = options.reserved;
    this.formation = options.choice.candidate.formation;
    this.promptTokens = options.call.metadata.promptTokens;
    this.expectedFirstEventMilliseconds = options.choice.prediction?.firstEventMilliseconds
      ?? options.call.route.targetLatencyMilliseconds;
    this.model = options.call.metadata.model;
    const { context: { states }, call: { profile: { engine }, service } } = options;
    const { state, formation, peer } = options.choice.candidate;
    const isMeasured = peer === null && states.conditions.isLearning;
    this.#steps = engine === null || !isMeasured ? null : new StreamSteps({
      states, state, engine, model: this.model, formation, kind: `${service}/${this.model ?? ''}`,
    });
  }

  /** Relays the stream to an end. `timeoutMilliseconds`: time left until the request's deadline. */
  async serve(timeoutMilliseconds: number, signal: AbortSignal): Promise<StreamAttemptOutcome> {
    const { state } = this.choice.candidate;
    const end = new Promise<StreamAttemptOutcome>((resolve) => {
      this.#resolve = resolve;
    });
    const timer = setTimeout(() => this.#abandon('deadline passed'), timeoutMilliseconds);
    const onAbort = () => this.#abandon('caller left');
    signal.addEventListener('abort', onAbort);
    state.outstanding += 1;
    state.streams.add(this);
    this.#start();
    try {
      return await end;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
      state.outstanding -= 1;
      state.streams.delete(this);
      this.#options.context.answerMemory.remove(this.#held);
    }
  }

  /** Whether the answer has a length or is chunked; null before its head. */
  get framed(): boolean | null {
    return this.#head?.framed ?? null;
  }

  /** Whether the target went on after it had begun the answer. */
  get isUnderWay(): boolean {
    return this.events >= UNDER_WAY_EVENTS;
  }

  stalled(): void {
    if (!this.#hasEnded) {
      this.#options.onStalled();
    }
  }

  /** Ends the attempt, as another one has gone on with the stream. */
  supersede(): void {
    if (!this.#hasEnded) {
      this.#attempt?.abandon();
      this.#finish({ kind: 'superseded' });
    }
  }

  #start(): void {
    const {
      context, call, sequence, usesNewConnection, reserved,
    } = this.#options;
    this.#attempt = startAttempt(context, call, this.choice.candidate, {
      lastEventId: sequence.lastId, usesNewConnection, reserved,
    }, {
      head: (status, headers) => this.#handleHead(status, headers),
      data: (chunk) => this.#handleData(chunk),
      ended: () => this.#handleEnd(),
      failed: (reason) => this.#finish(this.#attempt?.sent === true
        ? { kind: 'broken', reason, connectionLost: true } : { kind: 'unsent', reason }),
    });
  }

  #abandon(reason: string): void {
    if (!this.#hasEnded) {
      const sent = this.#attempt?.sent === true;
      this.#attempt?.abandon();
      this.#finish(sent ? { kind: 'broken', reason, connectionLost: false } : { kind: 'unsent', reason });
    }
  }

  #finish(end: StreamAttemptOutcome): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#endCheck?.close();
      this.#resolve?.(end);
    }
  }

  #handleHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
    const { context, call } = this.#options;
    const head = context.wire.readAnswer(headers);
    const { requestId } = call.metadata;
    const { candidate } = this.choice;
    if (candidate.peer === null) {
      recordAnswerHead(context, candidate, { status, head, requestId });
    }
    const classification = candidate.peer === null
      ? classifyAnswer(status, head, requestId) : classifyPeerAnswer(status, head, requestId);
    const framed = head.framed || head.framedByEntry;
    this.#head = { status, headers: removeHopByHopHeaders(headers), framed };
    if (endsWithConnection(call.method, status, framed)) {
      // An entry of an earlier build passes on the end of its target's connection as its own.
      this.#endCheck = candidate.peer === null ? context.servingCheck.begin(candidate) : UNSOUND_END;
    }
    switch (classification) {
      case 'own':
        // Whatever else a target answers cannot go on with a stream that has begun.
        this.#isStream = status === OK && (head.eventStream || !call.outgoing.headersSent);
        break;
      case 'failure':
        break;
      case 'passed-back':
        this.#isPassedBack = true;
        break;
      case 'not-executed':
        this.#refusal = { kind: 'not-executed', reason: `status ${status}` };
        break;
      case 'foreign':
        this.#abandon(`answer cannot be trusted, status ${status}`);
        break;
      default:
        classification satisfies never;
    }
  }

  #handleData(chunk: Buffer): void {
    if (this.#hasEnded) {
      return;
    }
    if (!this.#isStream) {
      this.#failureBytes += chunk.length;
      if (this.#failureBytes > MAXIMUM_FAILURE_BYTES) {
        this.#abandon('answer is too large');
      } else {
        this.#failureChunks.push(chunk);
        this.#options.context.answerMemory.record(this.#held, this.#failureBytes);
      }
      return;
    }
    this.#relay(this.#splitter.push(chunk));
    this.#recordHeldBytes();
    if (this.#idleBytes > MAXIMUM_IDLE_BYTES) {
      this.#abandon('events hold nothing');
    }
  }

  /** Records the bytes of an unfinished event and of those that the caller has not read. */
  #recordHeldBytes(): void {
    const { context: { answerMemory }, call: { outgoing } } = this.#options;
    answerMemory.record(this.#held, this.#splitter.partialBytes + outgoing.writableLength);
  }

  /** Gives the stream up for its bytes: where its caller does not read, another target is of no use. */
  #giveUp(): void {
    if (this.paused) {
      abortAnswer(this.#options.call.outgoing);
    }
    this.#abandon('answers hold too many bytes');
  }

  #relay(events: readonly Buffer[]): void {
    const { sequence } = this.#options;
    const delivered: Buffer[] = [];
    for (const event of events) {
      const position = sequence.accept(readEventId(event));
      this.#idleBytes = position === 'next' && hasField(event) ? 0 : this.#idleBytes + event.length;
      if (position === 'gap') {
        this.#deliver(delivered);
        this.#abandon('an event is missing');
        return;
      }
      if (position === 'next') {
        delivered.push(event);
      }
    }
    this.#deliver(delivered);
  }

  #deliver(events: readonly Buffer[]): void {
    if (events.length === 0) {
      return;
    }
    const { context: { clock }, onDelivery } = this.#options;
    const { state } = this.choice.candidate;
    onDelivery();
    const now = clock.monotonicMilliseconds();
    if (this.lastEventAt === null) {
      this.#recordFirstEvent(now - this.sentAt);
      state.prefilledTokens += this.promptTokens;
    }
    this.#steps?.record(events.length, now);
    const wasUnderWay = this.isUnderWay;
    this.events += events.length;
    if (this.isUnderWay && !wasUnderWay) {
      this.#recordServed();
    }
    this.lastEventAt = now;
    state.recordProgress();
    this.#write(events);
  }

  #recordServed(): void {
    const { context: { quarantine }, call: { suspects } } = this.#options;
    quarantine.recordServed(suspects);
  }

  /** Skips attempts that were expected to wait for a slot, as the wait is no latency of the target itself. */
  #recordFirstEvent(milliseconds: number): void {
    const { timings } = this.#options.context;
    const { prediction } = this.choice;
    // A slow target would raise the time that is expected of all others.
    if (prediction !== null && prediction.queueMilliseconds === 0 && prediction.slowdown === 1) {
      timings.recordFirstEvent(this.model, milliseconds - prediction.prefillMilliseconds);
    }
  }

  #write(events: readonly Buffer[]): void {
    const { call: { outgoing }, timing, context } = this.#options;
    if (outgoing.destroyed) {
      return;
    }
    if (!outgoing.headersSent && this.#head !== null) {
      // In chunks: without them the end of this process would look like the end of the stream.
      outgoing.writeHead(this.#head.status, this.#head.headers);
    }
    timing.recordDelivery(context.clock.monotonicMilliseconds());
    const [first, ...rest] = events;
    const bytes = rest.length === 0 && first !== undefined ? first : Buffer.concat(events);
    if (!outgoing.write(bytes)) {
      this.#pauseUntilDrained();
    }
  }

  #pauseUntilDrained(): void {
    this.#steps?.interrupt();
    if (this.paused) {
      return;
    }
    this.paused = true;
    this.#attempt?.pause();
    this.#options.call.outgoing.once('drain', () => {
      this.paused = false;
      this.#steps?.interrupt();
      this.#recordHeldBytes();
      this.choice.candidate.state.recordProgress();
      this.#attempt?.resume();
    });
  }

  #handleEnd(): void {
    if (this.#hasEnded) {
      return;
    }
    if (this.#refusal !== null) {
      this.#finish(this.#refusal);
    } else if (this.#splitter.hasPartialEvent) {
      this.#finish({ kind: 'broken', reason: 'stream ended inside an event', connectionLost: true });
    } else if (this.#endCheck !== null) {
      void this.#endCheck.isServing().then((isServing) => this.#finishUnframed(isServing));
    } else {
      this.#finishAnswer();
    }
  }

  /** Ends an answer without a length: it is whole if its target goes on. */
  #finishUnframed(isServing: boolean): void {
    if (this.#hasEnded) {
      return;
    }
    if (isServing) {
      this.#finishAnswer();
    } else {
      this.#finish({ kind: 'broken', reason: UNCONFIRMED_END, connectionLost: true });
    }
  }

  #finishAnswer(): void {
    if (!this.#isStream) {
      this.#finishWithFailure();
      return;
    }
    const { context: { clock, timings }, call: { outgoing, method }, onDelivery } = this.#options;
    onDelivery();
    if (!outgoing.headersSent && this.#head !== null) {
      outgoing.writeHead(this.#head.status, this.#head.headers);
    }
    outgoing.end(method === 'HEAD' ? undefined : '');
    this.#recordServed();
    timings.recordCompletion(this.model, clock.monotonicMilliseconds() - this.sentAt);
    this.#finish({ kind: 'complete' });
  }

  #finishWithFailure(): void {
    if (this.#head === null) {
      this.#finish({ kind: 'broken', reason: 'answer without a head', connectionLost: false });
      return;
    }
    const { status, headers } = this.#head;
    const answer = { status, headers, body: Buffer.concat(this.#failureChunks) };
    this.#finish({ kind: this.#isPassedBack ? 'passed-back' : 'failed', answer });
  }
}
