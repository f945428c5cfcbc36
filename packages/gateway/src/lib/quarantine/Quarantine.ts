/** Period in which no request with a part is sent to targets. Times are monotonic, in ms. */
export default interface Quarantine {
  readonly since: number;
  /** From then on one request may try whether the part still crashes targets. */
  readonly until: number;
}
