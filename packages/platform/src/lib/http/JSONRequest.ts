/** A JSON request to a platform service. */
export default interface JSONRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  /** `http://host:port`. */
  readonly origin: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds: number;
}
