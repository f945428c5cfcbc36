import type UrgentTraffic from './UrgentTraffic.js';

/** Streams of one model at one entry, or at all of them. */
export default interface ModelTraffic {
  /** Streams that wait for a target and can still be on time. */
  readonly onTimeWaiting: number;
  /** Streams that wait for a target and are late. */
  readonly lateWaiting: number;
  /** Streams that run on a target and were late when they were sent to it. */
  readonly lateRunning: number;
  /** Streams that arrive in time to be on time, per second. */
  readonly arrivalsPerSecond: number;
  /** The most urgent streams that can still be on time; none where none waits or that is not known. */
  readonly urgent?: UrgentTraffic | null;
}
