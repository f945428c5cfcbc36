import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { HEADERS } from '@dandelionlane/core';
import type ReaderSummary from './ReaderSummary.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const HIGHEST_MICROSECONDS = 60_000_000;
const PATTERN = /"content":"([0-9.]+) /g;
const STATUS_OK = 200;

/** What a `TokenReader` reads. */
interface TokenReaderOptions {
  /** `host:port` of an entry or of a target. */
  readonly addresses: readonly string[];
  readonly service: string;
  readonly streams: number;
  readonly tokensPerStream: number;
  readonly seconds: number;
  /** Measurement begins after this time. */
  readonly warmUpSeconds: number;
}

function createHistogram(): Histogram {
  return build({ highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 3 });
}

function percentile(histogram: Histogram, share: number): number {
  return histogram.getValueAtPercentile(share) / MICROSECONDS_PER_MILLISECOND;
}

function now(): number {
  return performance.timeOrigin + performance.now();
}

/** A caller that keeps a number of streams open and measures the delay of each token. */
export default class TokenReader {
  readonly #options: TokenReaderOptions;

  readonly #agent = new Agent({ connections: null });

  readonly #delay = createHistogram();

  readonly #firstToken = createHistogram();

  #tokens = 0;

  #streams = 0;

  #failures = 0;

  constructor(options: TokenReaderOptions) {
    this.#options = options;
  }

  async run(): Promise<ReaderSummary> {
    const { streams, seconds, warmUpSeconds } = this.#options;
    const startsAt = now() + warmUpSeconds * MILLISECONDS_PER_SECOND;
    const endsAt = startsAt + seconds * MILLISECONDS_PER_SECOND;
    await Promise.all(Array.from({ length: streams }, (_, index) => this.#keepOpen(index, startsAt, endsAt)));
    await this.#agent.destroy();
    return {
      tokens: this.#tokens,
      streams: this.#streams,
      failures: this.#failures,
      seconds,
      delayP50Milliseconds: percentile(this.#delay, 50),
      delayP95Milliseconds: percentile(this.#delay, 95),
      delayP99Milliseconds: percentile(this.#delay, 99),
      firstTokenP50Milliseconds: percentile(this.#firstToken, 50),
      firstTokenP95Milliseconds: percentile(this.#firstToken, 95),
      firstTokenP99Milliseconds: percentile(this.#firstToken, 99),
    };
  }

  async #keepOpen(index: number, startsAt: number, endsAt: number): Promise<void> {
    const { addresses, warmUpSeconds, streams } = this.#options;
    const address = addresses[index % addresses.length] ?? '';
    // Streams begin spread over the warm-up, so that they do not end all at once.
    await new Promise((resolve) => {
      setTimeout(resolve, (index / streams) * warmUpSeconds * MILLISECONDS_PER_SECOND);
    });
    while (now() < endsAt) {
      await this.#stream(address, startsAt, endsAt).catch(() => {
        this.#failures += 1;
      });
    }
  }

  async #stream(address: string, startsAt: number, endsAt: number): Promise<void> {
    const sentAt = now();
    const answer = await request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this.#agent,
      headers: { 'content-type': 'application/json', [HEADERS.team]: 'measurement' },
      body: JSON.stringify({
        model: this.#options.service,
        stream: true,
        tokens: this.#options.tokensPerStream,
        messages: [{ role: 'user', content: `measurement ${Math.floor(sentAt)}` }],
      }),
    });
    if (answer.statusCode !== STATUS_OK) {
      await answer.body.dump();
      throw new Error(`status ${answer.statusCode}`);
    }
    let first = true;
    for await (const chunk of answer.body) {
      const arrivedAt = now();
      if (first && sentAt >= startsAt && arrivedAt < endsAt) {
        this.#firstToken.recordValue((arrivedAt - sentAt) * MICROSECONDS_PER_MILLISECOND);
        this.#streams += 1;
      }
      first = false;
      if (arrivedAt >= startsAt && arrivedAt < endsAt) {
        this.#record((chunk as Buffer).toString('latin1'), arrivedAt);
      }
    }
  }

  #record(text: string, arrivedAt: number): void {
    for (const match of text.matchAll(PATTERN)) {
      const delay = Math.max(0, arrivedAt - Number(match[1]));
      this.#delay.recordValue(Math.round(delay * MICROSECONDS_PER_MILLISECOND));
      this.#tokens += 1;
    }
  }
}
