import type { ReplicaId } from '@dandelionlane/core';
import findMedian from './findMedian.js';
import findOutliers from './findOutliers.js';
import maximumEjected from './maximumEjected.js';
import MovingAverage from './MovingAverage.js';
import OUTLIER_RATIO from './OUTLIER_RATIO.js';
import QuantileEstimate from './QuantileEstimate.js';
import type ReplicaHealth from './ReplicaHealth.js';
import type ReplicaLatency from './ReplicaLatency.js';

/** Weight of the newest sample in a replica's average. */
const SAMPLE_WEIGHT = 0.1;

/** Quantile of latency after which a request counts as late, for hedging. */
const HIGH_QUANTILE = 0.95;

/** Initial ejection time of an outlier; it doubles with each failed probe. */
const EJECTION_MILLISECONDS = 5_000;

/** Maximum ejection time of an outlier. */
const MAXIMUM_EJECTION_MILLISECONDS = 60_000;

/** Time after which another probe may follow one that has not ended. */
const PROBE_TIMEOUT_MILLISECONDS = 30_000;

/** Maximum factor by which a replica's load is multiplied. */
const MAXIMUM_SLOWNESS = 4;

/** The ejection of a replica and when it may be probed. */
interface Ejection {
  readonly probeAtMilliseconds: number;
  readonly durationMilliseconds: number;
}

/**
 * Tracks the latencies of one service's replicas as measured by one entry, and ejects
 * outliers. Each answer gives one sample that is comparable between requests: the mean
 * time between tokens for models, the time to the first byte for plain services. Single
 * gaps between tokens are not used, since one long prefill would distort the average.
 */
export default class LatencyTracker {
  #averages = new Map<ReplicaId, MovingAverage>();

  #ejections = new Map<ReplicaId, Ejection>();

  #highQuantile = new QuantileEstimate(HIGH_QUANTILE);

  #medianMilliseconds: number | null = null;

  /** The `HIGH_QUANTILE` of all samples; null before the first. */
  get highQuantileMilliseconds(): number | null {
    return this.#highQuantile.value;
  }

  /** Records the latency of an answer that was not a probe. */
  record(replica: ReplicaId, milliseconds: number): void {
    this.#highQuantile.add(milliseconds);
    const average = this.#averages.get(replica) ?? new MovingAverage(SAMPLE_WEIGHT);
    this.#averages.set(replica, average);
    average.add(milliseconds);
  }

  /** Updates the outliers among the replicas that are whole. Call it about every second. */
  refresh(replicas: readonly ReplicaId[], monotonicMilliseconds: number): void {
    this.#removeOthers(replicas);
    const latencies = replicas.map((replica) => this.#latencyOf(replica));
    const known = latencies.filter(({ samples }) => samples > 0);
    this.#medianMilliseconds = findMedian(known.map(({ milliseconds }) => milliseconds));
    this.#readmitSurplus(maximumEjected(replicas.length));
    const remaining = maximumEjected(replicas.length) - this.#ejections.size;
    findOutliers(latencies)
      .filter((replica) => !this.#ejections.has(replica))
      .slice(0, Math.max(0, remaining))
      .forEach((replica) => this.#eject(replica, EJECTION_MILLISECONDS, monotonicMilliseconds));
  }

  /** Whether a replica receives requests at this time. */
  healthOf(replica: ReplicaId, monotonicMilliseconds: number): ReplicaHealth {
    const ejection = this.#ejections.get(replica);
    if (ejection === undefined) {
      return 'admitted';
    }
    return monotonicMilliseconds >= ejection.probeAtMilliseconds ? 'probe' : 'ejected';
  }

  /** Records the dispatch of a probe, so that no other probe is sent before it ends. */
  recordProbeSent(replica: ReplicaId, monotonicMilliseconds: number): void {
    const ejection = this.#ejections.get(replica);
    if (ejection !== undefined) {
      const probeAtMilliseconds = monotonicMilliseconds + PROBE_TIMEOUT_MILLISECONDS;
      this.#ejections.set(replica, { ...ejection, probeAtMilliseconds });
    }
  }

  /**
   * Records the result of a probe: its latency, or null for a failure. A latency of at
   * most `OUTLIER_RATIO` times the median readmits the replica and resets its average.
   */
  recordProbeResult(replica: ReplicaId, milliseconds: number | null, monotonicMilliseconds: number): void {
    const ejection = this.#ejections.get(replica);
    if (ejection === undefined) {
      return;
    }
    const median = this.#medianMilliseconds ?? Infinity;
    if (milliseconds !== null && milliseconds <= OUTLIER_RATIO * median) {
      this.#ejections.delete(replica);
      this.#averages.delete(replica);
      return;
    }
    const duration = Math.min(2 * ejection.durationMilliseconds, MAXIMUM_EJECTION_MILLISECONDS);
    this.#eject(replica, duration, monotonicMilliseconds);
  }

  /** Ratio of a replica's average to the median of all replicas, between 1 and `MAXIMUM_SLOWNESS`. */
  slownessOf(replica: ReplicaId): number {
    const average = this.#averages.get(replica);
    if (average === undefined || this.#medianMilliseconds === null || this.#medianMilliseconds === 0) {
      return 1;
    }
    return Math.min(MAXIMUM_SLOWNESS, Math.max(1, average.value / this.#medianMilliseconds));
  }

  #latencyOf(replica: ReplicaId): ReplicaLatency {
    const average = this.#averages.get(replica);
    return { replica, milliseconds: average?.value ?? 0, samples: average?.samples ?? 0 };
  }

  #eject(replica: ReplicaId, durationMilliseconds: number, monotonicMilliseconds: number): void {
    this.#ejections.set(replica, {
      probeAtMilliseconds: monotonicMilliseconds + durationMilliseconds,
      durationMilliseconds,
    });
  }

  /** Readmits the earliest ejected replicas if the number of replicas has decreased. */
  #readmitSurplus(maximum: number): void {
    const surplus = Math.max(0, this.#ejections.size - maximum);
    [...this.#ejections.keys()].slice(0, surplus).forEach((replica) => this.#ejections.delete(replica));
  }

  #removeOthers(replicas: readonly ReplicaId[]): void {
    const kept = new Set(replicas);
    for (const replica of [...this.#averages.keys(), ...this.#ejections.keys()]) {
      if (!kept.has(replica)) {
        this.#averages.delete(replica);
        this.#ejections.delete(replica);
      }
    }
  }
}
