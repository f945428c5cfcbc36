/** What a process has started. */
export default interface ServiceProcess {
  /** Addresses that were bound, for the ready line. */
  readonly addresses: Readonly<Record<string, string>>;
  /** Graceful shutdown. */
  stop(): Promise<void>;
}
