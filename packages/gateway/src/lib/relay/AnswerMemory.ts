import type { Log, Metrics } from '@dandelionlane/telemetry';

/**
 * Bytes of answers that an entry holds at once: with the buffers that hold a body once more while it is put
 * together, they stay well below the memory of the smallest VM, 350 MB.
 */
const MAXIMUM_BYTES = 48 * 1_024 * 1_024;

/** Dependencies and settings of an `AnswerMemory`. */
interface AnswerMemoryOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly maximumBytes?: number;
}

/** An answer that holds bytes. */
interface HeldAnswer {
  /** Ends the answer, so that it holds nothing. Called at most once. */
  readonly giveUp: () => void;
  bytes: number;
}

/**
 * Bounds the bytes that all answers of an entry hold together: the limit of one answer is no bound, as a
 * faulty target may send many at once. Beyond the bound the largest answer is given up.
 */
export default class AnswerMemory {
  readonly #options: AnswerMemoryOptions;

  readonly #maximumBytes: number;

  readonly #answers = new Set<HeldAnswer>();

  #bytes = 0;

  constructor(options: AnswerMemoryOptions) {
    this.#options = options;
    this.#maximumBytes = options.maximumBytes ?? MAXIMUM_BYTES;
  }

  /** Bytes that all answers hold. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds an answer that holds nothing yet. `giveUp` ends it; it is called at most once. */
  add(giveUp: () => void): HeldAnswer {
    const answer = { giveUp, bytes: 0 };
    this.#answers.add(answer);
    return answer;
  }

  /** Records the bytes that an answer holds now, unless it has been given up or removed. */
  record(held: HeldAnswer, bytes: number): void {
    const answer = held;
    if (this.#answers.has(answer)) {
      this.#bytes += bytes - answer.bytes;
      answer.bytes = bytes;
      this.#giveUpLargest();
    }
  }

  /** Removes an answer that holds nothing any more. */
  remove(answer: HeldAnswer): void {
    if (this.#answers.delete(answer)) {
      this.#bytes -= answer.bytes;
    }
  }

  #giveUpLargest(): void {
    while (this.#bytes > this.#maximumBytes) {
      const largest = [...this.#answers].reduce((one, other) => (other.bytes > one.bytes ? other : one));
      this.remove(largest);
      this.#options.metrics.count('gateway.answers_given_up');
      this.#options.log.warn('Answers hold too many bytes, giving the largest one up.', { bytes: largest.bytes });
      largest.giveUp();
    }
  }
}
