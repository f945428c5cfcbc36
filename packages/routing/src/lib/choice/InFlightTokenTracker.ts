import type { RequestId } from '@dandelionlane/core';
import type LoadEstimate from './LoadEstimate.js';

/** One request that this entry has in flight at a replica. */
interface InFlightRequest {
  readonly tokens: number;
  readonly sentAtMilliseconds: number;
}

/** Tracks the tokens of this entry's in-flight requests at one replica, to estimate load between reports. */
export default class InFlightTokenTracker {
  #items = new Map<RequestId, InFlightRequest>();

  #tokensInFlight = 0;

  /** Arrival time of the report that `#tokensSinceReport` counts from. */
  #reportedAtMilliseconds = -Infinity;

  #tokensSinceReport = 0;

  /** Records the dispatch of a request with its estimated tokens. */
  recordDispatch(request: RequestId, tokens: number, monotonicMilliseconds: number): void {
    this.recordCompletion(request);
    this.#items.set(request, { tokens, sentAtMilliseconds: monotonicMilliseconds });
    this.#tokensInFlight += tokens;
    if (monotonicMilliseconds >= this.#reportedAtMilliseconds) {
      this.#tokensSinceReport += tokens;
    }
  }

  /** Records the end of a request. An unknown request is ignored. */
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

  /** Combines a report, given by its outstanding tokens and arrival time, with the requests in flight. */
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

  /** Recounts once per report, so that the cost of `estimate` does not grow with the requests in flight. */
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
