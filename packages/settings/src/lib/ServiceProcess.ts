/** A started service process. */
export default interface ServiceProcess {
  /** Bound addresses by name, printed in the ready line. */
  readonly addresses: Readonly<Record<string, string>>;
  /** Shuts down gracefully. */
  stop(): Promise<void>;
}
