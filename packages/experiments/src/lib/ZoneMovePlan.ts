/** One run of a zone that is taken out and brought back under load. */
export default interface ZoneMovePlan {
  readonly seed: number;
  readonly callsPerSecond: number;
  /** From the start of the load, in seconds. */
  readonly takeOutAtSeconds: number;
  readonly bringBackAtSeconds: number;
  readonly endAtSeconds: number;
  readonly entries: number;
}
