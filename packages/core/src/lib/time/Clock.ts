/** Source of time. Passed in, so that tests and replays run on a clock of their own. */
export default interface Clock {
  /** Wall-clock time, for people and records only. Never compared between VMs. */
  now(): Date;

  /** Milliseconds on a clock that never goes back and that goes on while the process is stopped. */
  monotonicMilliseconds(): number;
}
