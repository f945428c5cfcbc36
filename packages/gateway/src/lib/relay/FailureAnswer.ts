/** Answer of a target to a stream request that is not a stream. */
export default interface FailureAnswer {
  readonly status: number;
  /** Headers as they are passed on to the caller. */
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}
