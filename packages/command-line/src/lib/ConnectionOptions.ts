/** Addresses of the entries and the token for requests to them. */
export default interface ConnectionOptions {
  /** `host:port`, in the order in which they are tried. */
  readonly entries: readonly string[];
  /** Operators' token; if undefined, requests carry none. */
  readonly token: string | undefined;
}
