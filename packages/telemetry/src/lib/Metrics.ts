/** Counters, gauges and timings of a process. Tags have the form `name:value`. */
export default interface Metrics {
  count(name: string, amount?: number, tags?: readonly string[]): void;
  gauge(name: string, value: number, tags?: readonly string[]): void;
  /** Duration in milliseconds. */
  timing(name: string, milliseconds: number, tags?: readonly string[]): void;
  close(): Promise<void>;
}
