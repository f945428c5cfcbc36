import type { Clock } from '@dandelionlane/core';
import type GenerationRequest from './GenerationRequest.js';
import sleep from '../sleep.js';

const MILLISECONDS_PER_SECOND = 1_000;
const SHORTEST_WAIT_MILLISECONDS = 1;
const SHORTEST_STEP_MILLISECONDS = 0.01;

interface BatchEntry {
  readonly request: GenerationRequest;
  readonly finish: () => void;
  position: number;
  /** When the prefill ends; unset while the request waits. */
  readyAt: number;
}

/** What a batch asks of its engine. */
interface BatchSurroundings {
  /** Factor on all times. */
  slowFactor(): number;
  /** Ends when the engine is not frozen. */
  passGate(): Promise<void>;
  /** Called after every step. */
  onStep(): void;
}

interface BatchTiming {
  readonly maximumBatch: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeMillisecondsPerToken: number;
}

/**
 * Continuous batching: requests join and leave between steps, and each step gives
 * every request in the batch one token. A full batch decodes at half the speed of a
 * batch of one. Interactive requests join before batch ones, each in order of arrival.
 */
export default class TokenBatch {
  readonly #timing: BatchTiming;

  readonly #clock: Clock;

  readonly #surroundings: BatchSurroundings;

  #batch: BatchEntry[] = [];

  #waiting: BatchEntry[] = [];

  #stepping = false;

  constructor(timing: BatchTiming, clock: Clock, surroundings: BatchSurroundings) {
    this.#timing = timing;
    this.#clock = clock;
    this.#surroundings = surroundings;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Tokens still to be generated. */
  get outstandingTokens(): number {
    return [...this.#batch, ...this.#waiting]
      .reduce((total, { request, position }) => total + request.endToken - position, 0);
  }

  /** Ends when all tokens were given out, or when the request's signal aborts. */
  generate(request: GenerationRequest): Promise<void> {
    return new Promise((resolve) => {
      const entry: BatchEntry = {
        request, finish: resolve, position: request.firstToken, readyAt: Number.POSITIVE_INFINITY,
      };
      request.signal.addEventListener('abort', () => this.#remove(entry), { once: true });
      if (request.signal.aborted || entry.position >= request.endToken) {
        resolve();
        return;
      }
      this.#waiting.push(entry);
      void this.#run();
    });
  }

  async #run(): Promise<void> {
    if (this.#stepping) {
      return;
    }
    this.#stepping = true;
    let steppedAt = this.#clock.monotonicMilliseconds();
    while (this.#batch.length + this.#waiting.length > 0) {
      this.#admit();
      await sleep(Math.max(SHORTEST_WAIT_MILLISECONDS, this.#stepMilliseconds()));
      const now = this.#clock.monotonicMilliseconds();
      await this.#surroundings.passGate();
      this.#step(steppedAt, now);
      this.#surroundings.onStep();
      steppedAt = this.#clock.monotonicMilliseconds();
    }
    this.#stepping = false;
  }

  #stepMilliseconds(): number {
    const load = 1 + Math.max(0, this.#batch.length - 1) / this.#timing.maximumBatch;
    return this.#timing.decodeMillisecondsPerToken * load * this.#surroundings.slowFactor();
  }

  #admit(): void {
    while (this.#batch.length < this.#timing.maximumBatch && this.#waiting.length > 0) {
      const urgent = this.#waiting.findIndex(({ request }) => request.priority === 'interactive');
      const [entry] = this.#waiting.splice(Math.max(0, urgent), 1);
      if (entry !== undefined) {
        const prefill = (entry.request.prefillTokens / this.#timing.prefillTokensPerSecond)
          * MILLISECONDS_PER_SECOND * this.#surroundings.slowFactor();
        entry.readyAt = this.#clock.monotonicMilliseconds() + prefill;
        this.#batch.push(entry);
      }
    }
  }

  /** Timers fire late, so a wake-up makes up for all steps that were due since the last one. */
  #step(steppedAt: number, now: number): void {
    const stepMilliseconds = Math.max(SHORTEST_STEP_MILLISECONDS, this.#stepMilliseconds());
    for (const entry of [...this.#batch]) {
      if (now >= entry.readyAt) {
        const due = Math.floor((now - Math.max(steppedAt, entry.readyAt)) / stepMilliseconds);
        const end = Math.min(entry.request.endToken, entry.position + Math.max(1, due));
        for (; entry.position < end && !entry.request.signal.aborted; entry.position += 1) {
          entry.request.onToken(entry.position);
        }
      }
      if (entry.position >= entry.request.endToken) {
        this.#remove(entry);
      }
    }
  }

  #remove(entry: BatchEntry): void {
    this.#batch = this.#batch.filter((candidate) => candidate !== entry);
    this.#waiting = this.#waiting.filter((candidate) => candidate !== entry);
    entry.finish();
  }
}
