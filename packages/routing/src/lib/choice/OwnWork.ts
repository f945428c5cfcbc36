import type { RequestId } from '@dandelionlane/core';
import type LoadEstimate from './LoadEstimate.js';

/** One request that this entry has in flight at a replica. */
interface WorkItem {
  readonly tokens: number;
  readonly sentAtMilliseconds: number;
}

/** The work that this entry has in flight at one replica, for the estimate between reports. */
export default class OwnWork {
  #items = new Map<RequestId, WorkItem>();

  #tokensInFlight = 0;

  /** Notes a request that is sent, with its estimated tokens. */
  dispatched(request: RequestId, tokens: number, monotonicMilliseconds: number): void {
    this.finished(request);
    this.#items.set(request, { tokens, sentAtMilliseconds: monotonicMilliseconds });
    this.#tokensInFlight += tokens;
  }

  /** Notes that a request ended. One that is not known is ignored. */
  finished(request: RequestId): void {
    const item = this.#items.get(request);
    if (item !== undefined) {
      this.#items.delete(request);
      this.#tokensInFlight -= item.tokens;
    }
  }

  /** The estimate that goes with a report of this many tokens and this arrival. */
  estimate(reportedTokens: number, seenAtMilliseconds: number, monotonicMilliseconds: number): LoadEstimate {
    return {
      reportedTokens,
      reportAgeMilliseconds: monotonicMilliseconds - seenAtMilliseconds,
      ownTokensSinceReport: this.#tokensSince(seenAtMilliseconds),
      ownTokensInFlight: this.#tokensInFlight,
    };
  }

  #tokensSince(milliseconds: number): number {
    let tokens = 0;
    for (const item of this.#items.values()) {
      if (item.sentAtMilliseconds >= milliseconds) {
        tokens += item.tokens;
      }
    }
    return tokens;
  }
}
