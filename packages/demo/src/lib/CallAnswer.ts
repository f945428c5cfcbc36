/** Status and text of an answer. */
export default interface CallAnswer {
  readonly status: number;
  readonly text: string;
  /** Time after which the caller may call again, in s; null where the answer does not give one. */
  readonly retryAfterSeconds: number | null;
}
