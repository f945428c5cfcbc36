/** Requests that a holder has in flight beyond its current grant. */
export default interface HolderExcess {
  readonly cold: number;
  readonly warm: number;
}
