/** Source of time. Injected, so that tests and replays can control it. */
export default interface Clock {
  /** Wall-clock time, for display and records only. Never compared across VMs. */
  now(): Date;

  /** Monotonic time in milliseconds; also advances while the process is stopped. */
  monotonicMilliseconds(): number;
}
