/** A call of the plain application. */
export default interface PlainCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly query: Readonly<Record<string, string>>;
  /** The `dandelionlane-` headers, the content type and the idempotency key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}
