import type SoakCourse from './faults/SoakCourse.js';

/** Size and course of a soak. */
export default interface SoakOptions {
  /** Decides the faults and the requests. */
  readonly seed: number;
  /** Time in which faults begin, in s. */
  readonly seconds: number;
  readonly entries: number;
  /** Requests a second. */
  readonly rate: number;
  /** Returns of the store from a copy. */
  readonly restorations: number;
  /** Defaults to `all`. */
  readonly course?: SoakCourse;
  /** Time for which an entry may go on after SIGTERM, in s. Defaults to that of deployments. */
  readonly grace?: number;
  /** Root of the built checkout that entries run from; null, the default, for this one. */
  readonly build?: string | null;
  /** Where settings files and logs of the processes go. */
  readonly directory: string;
}
