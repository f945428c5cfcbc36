import type RequestKind from './RequestKind.js';
import type WeightedService from './WeightedService.js';

/** Routing and serving policy for requests of one host and path prefix. */
export default interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly request: RequestKind;
  /** Maximum time that a request may wait for its answer, in ms. */
  readonly timeoutMilliseconds: number;
  /** Latency up to which an answer, or the first event of a stream, is on time, in ms. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of workers that one request may be sent to. */
  readonly maximumAttempts: number;
  readonly services: readonly WeightedService[];
  /** Whether requests need no API key. */
  readonly anonymous: boolean;
}
