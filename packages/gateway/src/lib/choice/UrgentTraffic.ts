/** The most urgent ones of the streams that wait for a target and can still be on time. */
export default interface UrgentTraffic {
  /** The most urgent priority among them; 0 is the most urgent of all. */
  readonly priority: number;
  /** Streams of that priority among them. */
  readonly onTimeWaiting: number;
}
