import { BlockPool, MemoryBudget, deriveMemoryBudget } from '@dandelionlane/core';
import type { Log, Metrics } from '@dandelionlane/telemetry';

/** Dependencies and settings of an `AnswerMemory`. */
interface AnswerMemoryOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Bytes that bodies and answers may hold together; by default what fits a machine of 350 MB. */
  readonly maximumBytes?: number;
}

type HeldAnswer = ReturnType<MemoryBudget['add']>;

/**
 * Bounds the bytes that all answers of an entry hold, together with the bodies: the limit of one answer is no
 * bound, as a faulty target may send many at once. Beyond the bound the largest answer is given up, once no
 * unfinished body is left.
 */
export default class AnswerMemory {
  /** The bytes of answers and bodies. */
  readonly budget: MemoryBudget;

  /** Blocks that bodies and answers are collected in. */
  readonly blocks = new BlockPool();

  readonly #options: AnswerMemoryOptions;

  constructor(options: AnswerMemoryOptions) {
    this.#options = options;
    this.budget = new MemoryBudget(options.maximumBytes ?? deriveMemoryBudget(null));
  }

  /** Bytes that all answers and bodies hold. */
  get bytes(): number {
    return this.budget.bytes;
  }

  /** Adds an answer that holds nothing yet. `giveUp` ends it; it is called at most once. */
  add(giveUp: () => void): HeldAnswer {
    const answer = this.budget.add('answer', () => {
      this.#options.metrics.count('gateway.answers_given_up');
      this.#options.log.warn('Answers hold too many bytes, giving one up.', { bytes: answer.bytes });
      giveUp();
    });
    return answer;
  }

  /** Records the bytes that an answer holds now, unless it has been given up or removed. */
  record(answer: HeldAnswer, bytes: number): void {
    this.budget.record(answer, bytes);
  }

  /** Records that an answer has been sent whole, and holds its bytes until it has been read. */
  finish(answer: HeldAnswer): void {
    this.budget.finishAnswer(answer);
  }

  /** Removes an answer that holds nothing any more. */
  remove(answer: HeldAnswer): void {
    this.budget.remove(answer);
  }
}
