/** Slowdown that nearly all targets of a kind have, at least 1: it says nothing about one of them. */
export default interface UsualSlowdown {
  /** In the samples of this entry. */
  readonly own: number;
  /** In what all entries have shared. */
  readonly shared: number;
}
