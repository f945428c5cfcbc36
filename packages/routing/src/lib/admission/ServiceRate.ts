import MovingAverage from '../latency/MovingAverage.js';

/** Weight of the newest service time in the average. */
const SAMPLE_WEIGHT = 0.05;

/** Number of samples that the initial estimate counts as. */
const INITIAL_SAMPLES = 1;

/** Estimates how often a slot is released while all slots are taken. */
export default class ServiceRate {
  #serviceTime = new MovingAverage(SAMPLE_WEIGHT);

  #lastReleaseMilliseconds: number | null = null;

  constructor(initialServiceMilliseconds: number) {
    for (let sample = 0; sample < INITIAL_SAMPLES; sample += 1) {
      this.#serviceTime.add(initialServiceMilliseconds);
    }
  }

  /** Records the end of a request and its service time. */
  recordRelease(serviceMilliseconds: number, monotonicMilliseconds: number): void {
    this.#serviceTime.add(serviceMilliseconds);
    this.#lastReleaseMilliseconds = monotonicMilliseconds;
  }

  /** Records that no request is in flight, so that the idle time does not count as a slow release. */
  recordIdle(monotonicMilliseconds: number): void {
    this.#lastReleaseMilliseconds = monotonicMilliseconds;
  }

  /**
   * Expected time between releases while all slots are taken. If none was released
   * for longer than the average, the targets have slowed down or stopped.
   */
  releaseIntervalMilliseconds(capacity: number, monotonicMilliseconds: number): number {
    const averageInterval = this.#serviceTime.value / Math.max(1, capacity);
    if (this.#lastReleaseMilliseconds === null) {
      return averageInterval;
    }
    const sinceLastRelease = monotonicMilliseconds - this.#lastReleaseMilliseconds;
    return Math.max(averageInterval, sinceLastRelease - this.#serviceTime.value);
  }
}
