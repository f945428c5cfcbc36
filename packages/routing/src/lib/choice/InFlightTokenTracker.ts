import type { RequestId } from '@dandelionlane/core';
import type LoadEstimate from './LoadEstimate.js';

/** One request that this entry has in flight at a replica. */
interface WorkItem {
  readonly tokens: number;
  readonly sentAtMilliseconds: number;
}

/** The work that this entry has in flight at one replica, for the estimate between reports. */
export default class InFlightTokenTracker {
  #items = new Map<RequestId, WorkItem>();

  #tokensInFlight = 0;

  /** Arrival of the report that `#tokensSinceReport` counts from. */
  #reportedAtMilliseconds = -Infinity;

  #tokensSinceReport = 0;

  /** Notes a request that is sent, with its estimated tokens. */
  recordDispatch(request: RequestId, tokens: number, monotonicMilliseconds: number): void {
    this.recordCompletion(request);
    this.#items.set(request, { tokens, sentAtMilliseconds: monotonicMilliseconds });
    this.#tokensInFlight += tokens;
    if (monotonicMilliseconds >= this.#reportedAtMilliseconds) {
      this.#tokensSinceReport += tokens;
    }
  }

  /** Notes that a request ended. One that is not known is ignored. */
  recordCompletion(request: RequestId): void {
    const item = this.#items.get(request);
    if (item !== undefined) {
      this.#items.delete(request);
      this.#tokensInFlight -= item.tokens;
      if (item.sentAtMilliseconds >= this.#reportedAtMilliseconds) {
        this.#tokensSinceReport -= item.tokens;
      }
    }
  }

  /** The estimate that goes with a report of this many tokens and this arrival. */
  estimate(
    reportedTokens: number,
    receivedAtMilliseconds: number,
    monotonicMilliseconds: number,
  ): LoadEstimate {
    this.#countFrom(receivedAtMilliseconds);
    return {
      reportedTokens,
      reportAgeMilliseconds: monotonicMilliseconds - receivedAtMilliseconds,
      localTokensSinceReport: this.#tokensSinceReport,
      localTokensInFlight: this.#tokensInFlight,
    };
  }

  /** Counts anew once per report, so that estimates in between cost the same at any number in flight. */
  #countFrom(receivedAtMilliseconds: number): void {
    if (receivedAtMilliseconds === this.#reportedAtMilliseconds) {
      return;
    }
    this.#reportedAtMilliseconds = receivedAtMilliseconds;
    this.#tokensSinceReport = 0;
    for (const item of this.#items.values()) {
      if (item.sentAtMilliseconds >= receivedAtMilliseconds) {
        this.#tokensSinceReport += item.tokens;
      }
    }
  }
}
