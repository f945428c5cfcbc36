import type RequestKind from './RequestKind.js';
import type WeightedService from './WeightedService.js';

/** Where requests of one host and path prefix go, and how they are served. */
export default interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly request: RequestKind;
  /** Longest time that a request may wait for its answer, in ms. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer, or the first event of a stream, is on time, in ms. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Workers that one request may be run on. */
  readonly maximumAttempts: number;
  readonly services: readonly WeightedService[];
  /** Whether requests need no API key. */
  readonly anonymous: boolean;
}
