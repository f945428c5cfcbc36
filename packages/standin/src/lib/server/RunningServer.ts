/** An HTTP server that listens. */
export default interface RunningServer {
  /** `host:port` that was bound. */
  readonly address: string;
  /** Destroys all connections and stops listening. */
  close(): Promise<void>;
}
