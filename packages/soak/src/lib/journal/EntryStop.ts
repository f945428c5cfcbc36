/** A planned stop of an entry. Times are monotonic, in ms. */
export default interface EntryStop {
  readonly entry: string;
  /** Time of SIGTERM. */
  readonly at: number;
  readonly graceMilliseconds: number;
  /** Time at which the process was gone; infinite until then. */
  goneAt: number;
}
