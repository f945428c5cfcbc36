/** An answer of the directory of an entry. */
export default interface DirectoryAnswer {
  readonly entry: string;
  /** Monotonic time, in ms. */
  readonly at: number;
  readonly addresses: readonly string[];
}
