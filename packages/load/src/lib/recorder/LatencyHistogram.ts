import { build, type Histogram } from 'hdr-histogram-js';
import type LatencySummary from './LatencySummary.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const SIGNIFICANT_DIGITS = 3;
const CURVE_PERCENTILES = [
  0, 10, 20, 30, 40, 50, 60, 70, 75, 80, 85, 90, 92.5, 95, 97.5, 98, 99, 99.5, 99.9, 99.95, 99.99, 100,
];

/** HDR histogram of a time, kept in microseconds. */
export default class LatencyHistogram {
  readonly #histogram: Histogram = build({
    bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  record(milliseconds: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)));
  }

  /** The distribution so far; null when nothing was recorded. */
  summary(): LatencySummary | null {
    if (this.#histogram.totalCount === 0) {
      return null;
    }
    return {
      count: this.#histogram.totalCount,
      p50: this.#at(50),
      p90: this.#at(90),
      p99: this.#at(99),
      p999: this.#at(99.9),
      maximum: this.#at(100),
      curve: CURVE_PERCENTILES.map((percentile) => ({ percentile, milliseconds: this.#at(percentile) })),
    };
  }

  #at(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  }
}
