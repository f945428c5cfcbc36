import type ChosenTarget from '../choice/ChosenTarget.js';
import type Call from '../requests/Call.js';
import type ReservedExecutions from './ReservedExecutions.js';

/**
 * Counts the targets that may run a request, here and behind other entries, against the limit of its route.
 * An attempt at a target takes one execution. Another entry gets a number of them, and all of these count
 * unless it states that the request did not run: it may have run it on as many targets.
 */
export default class ExecutionBudget {
  readonly #call: Call;

  /** Whether a request that may have run may run again. */
  readonly #isRepeatable: boolean;

  /** Executions that attempts under way may use. */
  #reserved = 0;

  #executions = 0;

  constructor(call: Call, isRepeatable: boolean) {
    this.#call = call;
    this.#isRepeatable = isRepeatable;
  }

  /** Whether a target may have run the request, here or at the entry that has passed it on. */
  get mayHaveRun(): boolean {
    return this.#call.mayHaveRun || this.#executions > 0;
  }

  /** Executions that no attempt has used or may use. */
  get remaining(): number {
    const { route: { maximumAttempts }, earlierExecutions } = this.#call;
    return maximumAttempts - earlierExecutions - this.#executions - this.#reserved;
  }

  /** Whether the request may be sent to a target after or beside those that may have run it. */
  get canRepeat(): boolean {
    return this.#isRepeatable && this.remaining > 0;
  }

  /**
   * Reserves executions for an attempt. Where there is a third entry, the last one is kept back for the loss
   * of the entry that serves the request now.
   */
  reserve({ candidate: { peer }, candidates }: ChosenTarget): ReservedExecutions {
    const { mayHaveRun } = this;
    const shared = candidates > 1 ? this.remaining - 1 : this.remaining;
    const executions = peer === null || !this.#isRepeatable ? 1 : Math.max(1, shared);
    this.#reserved += executions;
    return {
      executions,
      earlierExecutions: this.#isRepeatable
        ? Math.max(0, this.#call.route.maximumAttempts - executions) : 0,
      mayHaveRun,
    };
  }

  /** Records the end of an attempt. `ran`: whether a target may have run the request in it. */
  release({ executions }: ReservedExecutions, ran: boolean): void {
    this.#reserved -= executions;
    this.#executions += ran ? executions : 0;
  }
}
