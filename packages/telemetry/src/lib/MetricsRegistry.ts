import type Metrics from './Metrics.js';

/** Upper bounds of the latency buckets. */
const BUCKETS_MILLISECONDS = [5, 10, 25, 50, 100, 150, 250, 400, 600, 1_000, 2_000, 4_000, 8_000] as const;

/** Counts per bucket of one histogram; the last bucket has no upper bound. */
interface Histogram {
  readonly name: string;
  readonly tags: readonly string[];
  readonly counts: number[];
  sum: number;
}

function formatLabels(tags: readonly string[], extra: readonly string[] = []): string {
  const labels = [...tags.map((tag) => {
    const colon = tag.indexOf(':');
    return `${tag.slice(0, colon)}="${tag.slice(colon + 1)}"`;
  }), ...extra];
  return labels.length === 0 ? '' : `{${labels.join(',')}}`;
}

function formatName(name: string): string {
  return `dandelionlane_${name.replaceAll(/[^A-Za-z0-9]/g, '_')}`;
}

/** Keeps metrics in memory and renders them in the text exposition format of Prometheus. */
export default class MetricsRegistry implements Metrics {
  readonly #counters = new Map<string, number>();

  readonly #gauges = new Map<string, number>();

  readonly #histograms = new Map<string, Histogram>();

  count(name: string, amount = 1, tags: readonly string[] = []): void {
    const key = `${formatName(name)}_total${formatLabels(tags)}`;
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + amount);
  }

  gauge(name: string, value: number, tags: readonly string[] = []): void {
    this.#gauges.set(`${formatName(name)}${formatLabels(tags)}`, value);
  }

  timing(name: string, milliseconds: number, tags: readonly string[] = []): void {
    const key = `${name}${formatLabels(tags)}`;
    const histogram = this.#histograms.get(key) ?? {
      name: formatName(name), tags, counts: Array<number>(BUCKETS_MILLISECONDS.length + 1).fill(0), sum: 0,
    };
    this.#histograms.set(key, histogram);
    const bucket = BUCKETS_MILLISECONDS.findIndex((bound) => milliseconds <= bound);
    const index = bucket === -1 ? BUCKETS_MILLISECONDS.length : bucket;
    histogram.counts[index] = (histogram.counts[index] ?? 0) + 1;
    histogram.sum += milliseconds;
  }

  /** Renders all metrics as text. */
  render(): string {
    const lines = [...this.#counters, ...this.#gauges].map(([key, value]) => `${key} ${value}`);
    this.#histograms.forEach(({
      name, tags, counts, sum,
    }) => {
      let total = 0;
      counts.forEach((count, index) => {
        total += count;
        const bound = BUCKETS_MILLISECONDS[index]?.toString() ?? '+Inf';
        lines.push(`${name}_milliseconds_bucket${formatLabels(tags, [`le="${bound}"`])} ${total}`);
      });
      lines.push(`${name}_milliseconds_sum${formatLabels(tags)} ${Math.round(sum)}`);
      lines.push(`${name}_milliseconds_count${formatLabels(tags)} ${total}`);
    });
    return `${lines.join('\n')}\n`;
  }

  // eslint-disable-next-line class-methods-use-this -- implements an interface
  close(): Promise<void> {
    return Promise.resolve();
  }
}
