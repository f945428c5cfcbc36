import type CallAnswer from './CallAnswer.js';
import type LoadOutcome from './LoadOutcome.js';

const PAUSE_MILLISECONDS = 100;
const STATUS_OK = 200;
const EXAMPLE_CHARACTERS = 160;

/** A small steady load: one call every 100 ms, whether or not the earlier ones have been answered. */
export default class LoadLoop {
  readonly #call: () => Promise<CallAnswer>;

  readonly #pending = new Set<Promise<void>>();

  #answered = 0;

  #failed = 0;

  #example = '';

  #timer: NodeJS.Timeout | undefined;

  constructor(call: () => Promise<CallAnswer>) {
    this.#call = call;
  }

  start(): void {
    this.#timer = setInterval(() => {
      const pending: Promise<void> = this.#once().finally(() => this.#pending.delete(pending));
      this.#pending.add(pending);
    }, PAUSE_MILLISECONDS);
  }

  /** Ends the load and waits for the answers that are still due. */
  async stop(): Promise<LoadOutcome> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
    return { answered: this.#answered, failed: this.#failed, example: this.#example };
  }

  async #once(): Promise<void> {
    try {
      const answer = await this.#call();
      if (answer.status === STATUS_OK) {
        this.#answered += 1;
        return;
      }
      this.#fail(answer.text);
    } catch (error) {
      this.#fail(String(error));
    }
  }

  #fail(detail: string): void {
    this.#failed += 1;
    this.#example = ` (as ${detail.slice(0, EXAMPLE_CHARACTERS)})`;
  }
}
