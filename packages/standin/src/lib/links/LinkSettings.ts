/** Settings of a link. */
export default interface LinkSettings {
  /** `host:port` that the link leads to. */
  readonly target: string;
  /** Defaults to `127.0.0.1`. */
  readonly host?: string;
  /** Defaults to any free port. */
  readonly port?: number;
}
