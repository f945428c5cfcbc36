/** Faults of a `FakeNetwork`. */
export default interface FakeNetworkOptions {
  readonly seed: number;
  /** Share of messages lost. */
  readonly loss: number;
  /** Share of messages delivered twice. */
  readonly duplication: number;
  readonly minimumDelayMilliseconds: number;
  readonly maximumDelayMilliseconds: number;
}
