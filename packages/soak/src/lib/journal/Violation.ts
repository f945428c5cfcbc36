/**
 * A promise that was broken. `timed` promises hold within bounds of time; whether they are kept
 * depends on how busy the machine is, so tests go by the others.
 */
export default interface Violation {
  readonly promise: string;
  readonly detail: string;
  readonly timed: boolean;
}
