import MovingAverage from '../latency/MovingAverage.js';

/** Weight of the newest service time in the average. */
const SAMPLE_WEIGHT = 0.05;

/** Samples for which the initial estimate counts. */
const INITIAL_SAMPLES = 1;

/** Estimates how often a place becomes free while all are taken. */
export default class ServiceRate {
  #serviceTime = new MovingAverage(SAMPLE_WEIGHT);

  #lastReleaseMilliseconds: number | null = null;

  constructor(initialServiceMilliseconds: number) {
    for (let sample = 0; sample < INITIAL_SAMPLES; sample += 1) {
      this.#serviceTime.add(initialServiceMilliseconds);
    }
  }

  /** Notes that a request ended after so long. */
  recordRelease(serviceMilliseconds: number, monotonicMilliseconds: number): void {
    this.#serviceTime.add(serviceMilliseconds);
    this.#lastReleaseMilliseconds = monotonicMilliseconds;
  }

  /** Notes that all places were free, so that the time since the last release tells nothing. */
  recordIdle(monotonicMilliseconds: number): void {
    this.#lastReleaseMilliseconds = monotonicMilliseconds;
  }

  /**
   * Expected time between releases while all places are taken. A sinceLastRelease longer
   * than the average says that the targets have slowed down or stopped.
   */
  releaseIntervalMilliseconds(capacity: number, monotonicMilliseconds: number): number {
    const average = this.#serviceTime.value / Math.max(1, capacity);
    if (this.#lastReleaseMilliseconds === null) {
      return average;
    }
    const sinceLastRelease = monotonicMilliseconds - this.#lastReleaseMilliseconds;
    return Math.max(average, sinceLastRelease - this.#serviceTime.value);
  }
}
