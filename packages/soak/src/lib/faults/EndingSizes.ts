/** Sizes of what the ends of processes are drawn for. */
export default interface EndingSizes {
  readonly entries: number;
  /** Plain workers, the first of all. */
  readonly plainWorkers: number;
  /** Model workers, after the plain ones. */
  readonly modelWorkers: number;
}
