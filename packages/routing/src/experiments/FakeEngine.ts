import type EngineJob from './EngineJob.js';
import type Simulation from './Simulation.js';

const BATCH_SIZE = 32;
const PREFILL_TOKENS_PER_STEP = 2_048;
const STEP_MILLISECONDS = 20;
const STEP_MILLISECONDS_PER_REQUEST = 0.3;
const PREFILL_MILLISECONDS_PER_TOKEN = 0.1;
const CACHED_PREFIXES = 12;
const COLD_SLOWNESS = 3;
const COLD_MILLISECONDS = 20_000;
const RAMP_MILLISECONDS = 10_000;
const COLD_SUSTAINABLE_REQUESTS = 2;

/** A job in the running batch. */
interface RunningJob {
  readonly job: EngineJob;
  prefillLeft: number;
  outputLeft: number;
  lastTokenAt: number | null;
}

/** The load report of an engine. */
interface EngineReport {
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly outstandingTokens: number;
  readonly phase: 'cold' | 'warm';
  readonly incarnation: number;
}

/**
 * Simulates a model engine with continuous batching, a small prefix cache and cold start:
 * while cold it is slow and sustains two requests, then the sustainable number ramps up to
 * the full batch. Above one and a half times that number during cold start and ramp, all
 * requests fail and the engine restarts cold.
 */
export default class FakeEngine {
  #simulation: Simulation;

  #running: RunningJob[] = [];

  #waiting: EngineJob[] = [];

  /** Cached prefixes, the least recently used first. */
  #cache = new Set<number>();

  #isStepping = false;

  #startedAt = -Infinity;

  #incarnation = 1;

  #overloadRestarts = 0;

  #slowness = 1;

  #onCached: (prefix: number) => void;

  #prefillHits = 0;

  #prefills = 0;

  /** `onCached` is called when a prefix is added to the cache. */
  constructor(simulation: Simulation, onCached: (prefix: number) => void = () => {}) {
    this.#simulation = simulation;
    this.#onCached = onCached;
  }

  /** Number of restarts caused by overload. */
  get overloadRestarts(): number {
    return this.#overloadRestarts;
  }

  /** Share of prompts whose prefix was cached. */
  get hitShare(): number {
    return this.#prefills === 0 ? 0 : this.#prefillHits / this.#prefills;
  }

  /** Concurrent requests that the engine can sustain now. */
  get sustainableRequests(): number {
    const warmFor = this.#simulation.now - this.#startedAt - COLD_MILLISECONDS;
    const ramp = Math.min(1, Math.max(0, warmFor / RAMP_MILLISECONDS));
    return COLD_SUSTAINABLE_REQUESTS + ramp * (BATCH_SIZE - COLD_SUSTAINABLE_REQUESTS);
  }

  report(): EngineReport {
    const running = this.#running.reduce((sum, { outputLeft }) => sum + outputLeft, 0);
    const waiting = this.#waiting.reduce((sum, { outputTokens }) => sum + outputTokens, 0);
    return {
      runningRequests: this.#running.length,
      waitingRequests: this.#waiting.length,
      outstandingTokens: running + waiting,
      phase: this.#isCold() ? 'cold' : 'warm',
      incarnation: this.#incarnation,
    };
  }

  /** Removes a job without calling `onEnd`, since its caller has the answer from another engine. */
  cancel(job: EngineJob): void {
    this.#waiting = this.#waiting.filter((waiting) => waiting !== job);
    this.#running = this.#running.filter((running) => running.job !== job);
  }

  submit(job: EngineJob): void {
    this.#waiting.push(job);
    if (this.#running.length + this.#waiting.length > 1.5 * this.sustainableRequests) {
      if (this.sustainableRequests < BATCH_SIZE) {
        this.#overloadRestarts += 1;
        this.restart();
        return;
      }
    }
    this.#startStep();
  }

  /** Multiplies the duration of every step by this factor, to simulate a straggler. */
  slowDown(factor: number): void {
    this.#slowness = factor;
  }

  /** Fails all requests and restarts cold. */
  restart(): void {
    const jobs = [...this.#running.map(({ job }) => job), ...this.#waiting];
    this.#running = [];
    this.#waiting = [];
    this.#cache.clear();
    this.#incarnation += 1;
    this.#startedAt = this.#simulation.now;
    jobs.forEach(({ onEnd }) => onEnd('failure'));
  }

  #isCold(): boolean {
    return this.#simulation.now - this.#startedAt < COLD_MILLISECONDS;
  }

  #startStep(): void {
    if (this.#isStepping || this.#running.length + this.#waiting.length === 0) {
      return;
    }
    this.#isStepping = true;
    const incarnation = this.#incarnation;
    const prefilled = this.#fillBatch();
    const duration = (STEP_MILLISECONDS + STEP_MILLISECONDS_PER_REQUEST * this.#running.length
      + PREFILL_MILLISECONDS_PER_TOKEN * prefilled) * this.#slowness * (this.#isCold() ? COLD_SLOWNESS : 1);
    this.#simulation.after(duration, () => {
      this.#isStepping = false;
      if (incarnation === this.#incarnation) {
        this.#endStep();
      }
      this.#startStep();
    });
  }

  /** Moves waiting jobs into the batch and returns the prompt tokens prefilled in this step. */
  #fillBatch(): number {
    while (this.#running.length < BATCH_SIZE && this.#waiting.length > 0) {
      const job = this.#waiting.shift();
      if (job !== undefined) {
        const cached = this.#lookUp(job.prefix) ? job.prefixTokens : 0;
        const prefillLeft = job.prefixTokens + job.suffixTokens - cached;
        this.#running.push({
          job, prefillLeft, outputLeft: job.outputTokens, lastTokenAt: null,
        });
      }
    }
    let budget = PREFILL_TOKENS_PER_STEP;
    this.#running = this.#running.map((running) => {
      const tokens = Math.min(budget, running.prefillLeft);
      budget -= tokens;
      return { ...running, prefillLeft: running.prefillLeft - tokens };
    });
    return PREFILL_TOKENS_PER_STEP - budget;
  }

  #lookUp(prefix: number): boolean {
    const isHit = this.#cache.delete(prefix);
    this.#cache.add(prefix);
    this.#prefills += 1;
    this.#prefillHits += isHit ? 1 : 0;
    if (!isHit) {
      this.#onCached(prefix);
    }
    const [oldest] = this.#cache;
    if (this.#cache.size > CACHED_PREFIXES && oldest !== undefined) {
      this.#cache.delete(oldest);
    }
    return isHit;
  }

  #endStep(): void {
    const { now } = this.#simulation;
    const ready = this.#running.filter(({ prefillLeft }) => prefillLeft === 0);
    this.#running = this.#running
      .map((running) => (running.prefillLeft > 0
        ? running
        : { ...running, outputLeft: running.outputLeft - 1, lastTokenAt: now }))
      .filter(({ outputLeft }) => outputLeft > 0);
    ready.forEach(({ job, lastTokenAt, outputLeft }) => {
      if (lastTokenAt === null) {
        job.onFirstToken();
      } else {
        job.onGap(now - lastTokenAt);
      }
      if (outputLeft === 1) {
        job.onEnd('success');
      }
    });
  }
}
