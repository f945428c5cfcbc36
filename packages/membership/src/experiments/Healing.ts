/** Time from the end of a network partition until the entries have converged, in seconds. */
export default interface Healing {
  readonly entries: number;
  readonly regions: number;
  readonly cutSeconds: number;
  /** `halves`: a region splits in two. `region`: a region loses the other regions and the store. */
  readonly cut: 'halves' | 'region';
  readonly cuts: number;
  readonly median: number;
  readonly maximum: number;
}
