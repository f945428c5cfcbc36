/** Time from the end of a cut until all is as it should be, in seconds. */
export default interface Healing {
  readonly entries: number;
  readonly regions: number;
  readonly cutSeconds: number;
  /** `halves`: a region falls in two. `region`: one region is cut off from the others and the store. */
  readonly cut: 'halves' | 'region';
  readonly cuts: number;
  readonly median: number;
  readonly maximum: number;
}
