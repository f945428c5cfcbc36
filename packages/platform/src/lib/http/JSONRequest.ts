/** A JSON request to a platform service. */
export default interface JSONRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  /** `http://host:port`. */
  readonly origin: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time for the whole answer, in ms. */
  readonly timeoutMilliseconds: number;
  /**
   * Time for the whole answer while parts of it arrive at least every `timeoutMilliseconds`, in ms: a large
   * one takes its time on a slow link. Absent where the answer is small.
   */
  readonly maximumMilliseconds?: number;
}
