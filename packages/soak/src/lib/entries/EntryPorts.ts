/** Ports of an entry. */
export default interface EntryPorts {
  readonly callers: number;
  readonly directory: number;
  readonly readiness: number;
  /** The first of two that follow each other, for metrics and for other entries. */
  readonly internal: number;
}
