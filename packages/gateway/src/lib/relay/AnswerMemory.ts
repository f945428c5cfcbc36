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

/** Bytes that one answer holds. */
interface HeldAnswer {
  /** Records the bytes that it holds now. */
  readonly set: (bytes: number) => void;
  /** Records that it holds nothing any more. */
  readonly release: () => void;
}

/**
 * Bounds the bytes that all answers of an entry hold together: the limit of one answer is no bound, as a
 * faulty target may send many at once. Beyond the bound the largest answer is given up.
 */
export default class AnswerMemory {
  readonly #options: AnswerMemoryOptions;

  readonly #maximumBytes: number;

  /** Bytes of each answer, by what gives it up. */
  readonly #answers = new Map<() => void, number>();

  #bytes = 0;

  constructor(options: AnswerMemoryOptions) {
    this.#options = options;
    this.#maximumBytes = options.maximumBytes ?? MAXIMUM_BYTES;
  }

  /** Bytes that all answers hold. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds an answer. `giveUp` ends it, so that it holds nothing; it is called at most once. */
  hold(giveUp: () => void): HeldAnswer {
    const key = () => giveUp();
    this.#answers.set(key, 0);
    return {
      set: (bytes) => {
        if (this.#answers.has(key)) {
          this.#set(key, bytes);
          this.#giveUpLargest();
        }
      },
      release: () => this.#remove(key),
    };
  }

  #set(key: () => void, bytes: number): void {
    this.#bytes += bytes - (this.#answers.get(key) ?? 0);
    this.#answers.set(key, bytes);
  }

  #remove(key: () => void): void {
    this.#bytes -= this.#answers.get(key) ?? 0;
    this.#answers.delete(key);
  }

  #giveUpLargest(): void {
    while (this.#bytes > this.#maximumBytes) {
      const [giveUp, bytes] = [...this.#answers].reduce((largest, answer) => (
        answer[1] > largest[1] ? answer : largest
      ));
      this.#remove(giveUp);
      this.#options.metrics.count('gateway.answers_given_up');
      this.#options.log.warn('Answers hold too many bytes, giving the largest one up.', { bytes });
      giveUp();
    }
  }
}
