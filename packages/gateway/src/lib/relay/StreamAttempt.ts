import { EventSplitter, type ModelName } from '@dandelionlane/core';
import type Candidate from '../choice/Candidate.js';
import type LatencyPrediction from '../choice/LatencyPrediction.js';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import startAttempt from '../requests/startAttempt.js';
import type RunningStream from '../targets/RunningStream.js';
import type TargetAttempt from '../targets/TargetAttempt.js';
import recordAnswerHead from '../targets/recordAnswerHead.js';
import type EventSequence from './EventSequence.js';
import type StreamAttemptOutcome from './StreamAttemptOutcome.js';
import writeAnswerHead from './writeAnswerHead.js';
import classifyAnswer from './classifyAnswer.js';
import removeHopByHopHeaders from './removeHopByHopHeaders.js';
import readEventId from './readEventId.js';
import type StreamTiming from './StreamTiming.js';

/** Status of a stream. */
const OK = 200;

/** Largest answer other than a stream that is passed on, in bytes. */
const MAXIMUM_FAILURE_BYTES = 256 * 1_024;

/** Head of a run's answer, as it goes to the caller. */
interface RunHead {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly framed: boolean;
}

/** What a `StreamRun` needs. */
interface StreamRunOptions {
  readonly context: GatewayContext;
  readonly call: Call;
  readonly candidate: Candidate;
  readonly prediction: LatencyPrediction | null;
  readonly sequence: EventSequence;
  readonly timing: StreamTiming;
  readonly usesNewConnection: boolean;
  /** Whether the stream can go on elsewhere now. */
  readonly canMove: () => boolean;
}

/** One run of a stream at one target: relays its events to the caller. */
export default class StreamAttempt implements RunningStream {
  readonly #options: StreamRunOptions;

  readonly #splitter = new EventSplitter();

  readonly sentAt: number;

  readonly formation: string;

  readonly promptTokens: number;

  readonly expectedFirstEventMilliseconds: number;

  readonly model: ModelName | null;

  lastEventAt: number | null = null;

  paused = false;

  /** Events that this run brought. */
  events = 0;

  #attempt: TargetAttempt | null = null;

  #head: RunHead | null = null;

  #isStream = false;

  #rejected: StreamAttemptOutcome | null = null;

  readonly #failure: Buffer[] = [];

  #failureBytes = 0;

  #resolve: ((end: StreamAttemptOutcome) => void) | null = null;

  #ended = false;

  constructor(options: StreamRunOptions) {
    this.#options = options;
    this.sentAt = options.context.clock.monotonicMilliseconds();
    this.formation = options.candidate.formation;
    this.promptTokens = options.call.metadata.promptTokens;
    this.expectedFirstEventMilliseconds = options.prediction?.firstEventMilliseconds
      ?? options.call.route.targetLatencyMilliseconds;
    this.model = options.call.metadata.model;
  }

  /** Runs to an end. `timeoutMilliseconds` is what is left of the request's time. */
  async serve(timeoutMilliseconds: number, signal: AbortSignal): Promise<StreamAttemptOutcome> {
    const { candidate: { state } } = this.#options;
    const end = new Promise<StreamAttemptOutcome>((resolve) => {
      this.#resolve = resolve;
    });
    const timer = setTimeout(() => this.#giveUp('deadline passed'), timeoutMilliseconds);
    const leave = () => this.#giveUp('caller left');
    signal.addEventListener('abort', leave);
    state.outstanding += 1;
    state.streams.add(this);
    this.#start();
    try {
      return await end;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', leave);
      state.outstanding -= 1;
      state.streams.delete(this);
    }
  }

  stalled(): void {
    if (!this.#ended && this.#options.canMove()) {
      this.#giveUp('target stands still');
    }
  }

  #start(): void {
    const {
      context, call, candidate, sequence, usesNewConnection,
    } = this.#options;
    this.#attempt = startAttempt(context, call, candidate, {
      lastEventId: sequence.lastId, usesNewConnection,
    }, {
      head: (status, headers) => this.#answered(status, headers),
      data: (chunk) => this.#received(chunk),
      ended: () => this.#finished(),
      failed: (reason) => this.#finish(this.#attempt?.sent === true
        ? { kind: 'broken', reason } : { kind: 'unsent', reason }),
    });
  }

  #giveUp(reason: string): void {
    if (!this.#ended) {
      const sent = this.#attempt?.sent === true;
      this.#attempt?.abandon();
      this.#finish(sent ? { kind: 'broken', reason } : { kind: 'unsent', reason });
    }
  }

  #finish(end: StreamAttemptOutcome): void {
    if (!this.#ended) {
      this.#ended = true;
      this.#resolve?.(end);
    }
  }

  #answered(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
    const { context, call, candidate } = this.#options;
    const head = context.wire.readAnswer(headers);
    recordAnswerHead(context, candidate, status, head);
    const verdict = classifyAnswer(status, head, call.metadata.requestId);
    this.#head = { status, headers: removeHopByHopHeaders(headers), framed: head.framed };
    switch (verdict) {
      case 'own':
        this.#isStream = status === OK;
        break;
      case 'failure':
        break;
      case 'not-executed':
        this.#rejected = { kind: 'not-executed', reason: `status ${status}` };
        break;
      case 'foreign':
        this.#giveUp(`answer cannot be trusted, status ${status}`);
        break;
      default:
        verdict satisfies never;
    }
  }

  #received(chunk: Buffer): void {
    if (this.#ended) {
      return;
    }
    if (!this.#isStream) {
      this.#failureBytes += chunk.length;
      if (this.#failureBytes > MAXIMUM_FAILURE_BYTES) {
        this.#giveUp('answer is too large');
      } else {
        this.#failure.push(chunk);
      }
      return;
    }
    this.#relay(this.#splitter.push(chunk));
  }

  #relay(events: readonly Buffer[]): void {
    const { context, sequence, candidate: { state } } = this.#options;
    const delivered: Buffer[] = [];
    for (const event of events) {
      const position = sequence.accept(readEventId(event));
      if (position === 'gap') {
        this.#write(delivered);
        this.#giveUp('an event is missing');
        return;
      }
      if (position === 'next') {
        delivered.push(event);
      }
    }
    if (delivered.length > 0) {
      const now = context.clock.monotonicMilliseconds();
      if (this.lastEventAt === null) {
        this.#learnFirstEvent(now - this.sentAt);
      }
      this.events += delivered.length;
      this.lastEventAt = now;
      state.recordProgress();
      this.#write(delivered);
    }
  }

  /** A run that waited for a place tells nothing of the target's own time. */
  #learnFirstEvent(milliseconds: number): void {
    const { context: { timings }, prediction } = this.#options;
    if (prediction !== null && prediction.queueMilliseconds === 0) {
      timings.recordFirstEvent(this.model, milliseconds - prediction.prefillMilliseconds);
    }
  }

  #write(events: readonly Buffer[]): void {
    const { call: { outgoing }, timing, context } = this.#options;
    if (events.length === 0 || outgoing.destroyed) {
      return;
    }
    if (!outgoing.headersSent && this.#head !== null) {
      this.#begin(this.#head);
    }
    timing.recordDelivery(context.clock.monotonicMilliseconds());
    const [first, ...rest] = events;
    const bytes = rest.length === 0 && first !== undefined ? first : Buffer.concat(events);
    if (!outgoing.write(bytes)) {
      this.#pauseUntilDrained();
    }
  }

  #pauseUntilDrained(): void {
    if (this.paused) {
      return;
    }
    this.paused = true;
    this.#attempt?.pause();
    this.#options.call.outgoing.once('drain', () => {
      this.paused = false;
      this.#options.candidate.state.recordProgress();
      this.#attempt?.resume();
    });
  }

  #finished(): void {
    const { call: { outgoing, method } } = this.#options;
    if (this.#ended) {
      return;
    }
    if (this.#rejected !== null) {
      this.#finish(this.#rejected);
    } else if (!this.#isStream) {
      this.#passFailure();
    } else if (this.#splitter.hasRest) {
      this.#finish({ kind: 'broken', reason: 'stream ended inside an event' });
    } else if (this.#head?.framed === false && outgoing.headersSent && outgoing.useChunkedEncodingByDefault) {
      // The caller's answer has a frame that would call the stream complete.
      this.#finish({ kind: 'broken', reason: 'the end of a stream without a length is uncertain' });
    } else {
      if (!outgoing.headersSent && this.#head !== null) {
        this.#begin(this.#head);
      }
      outgoing.end(method === 'HEAD' ? undefined : '');
      const { clock, timings } = this.#options.context;
      timings.recordCompletion(this.model, clock.monotonicMilliseconds() - this.sentAt);
      this.#finish({ kind: 'complete' });
    }
  }

  #begin({ status, headers, framed }: RunHead): void {
    writeAnswerHead(this.#options.call.outgoing, status, headers, framed);
  }

  /** Hands an answer that is no stream on, unless events have gone out already. */
  #passFailure(): void {
    const { call: { outgoing } } = this.#options;
    if (outgoing.headersSent || this.#head === null) {
      this.#finish({ kind: 'broken', reason: `status ${this.#head?.status ?? 0} for a resumed stream` });
      return;
    }
    const body = Buffer.concat(this.#failure);
    outgoing.writeHead(this.#head.status, { ...this.#head.headers, 'content-length': String(body.length) });
    outgoing.end(body);
    this.#finish({ kind: 'passed' });
  }
}
