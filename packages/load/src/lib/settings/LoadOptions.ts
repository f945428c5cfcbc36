/** Options of the command line. */
export default interface LoadOptions {
  readonly settings: string;
  readonly duration?: number;
  readonly rate?: number;
  readonly seed?: number;
  readonly journal?: string | readonly string[];
  readonly report?: string;
  /** Further addresses after `--journal`. */

  readonly _?: readonly string[];
}
