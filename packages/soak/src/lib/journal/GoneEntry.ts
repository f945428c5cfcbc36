/** A time in which an entry does not run, in monotonic ms; `to` is infinite until it starts again. */
export default interface GoneEntry {
  /** Address by which the directory names it. */
  readonly address: string;
  readonly from: number;
  to: number;
}
