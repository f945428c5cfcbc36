/** How the entries are reached. */
export default interface ConnectionOptions {
  /** `host:port`, in the order in which they are tried. */
  readonly entries: readonly string[];
  /** Undefined: requests carry no token. */
  readonly token: string | undefined;
}
