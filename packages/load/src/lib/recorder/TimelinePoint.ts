import type OutcomeCounts from './OutcomeCounts.js';

/** Outcomes of the calls that were to start within one second of the run. */
export default interface TimelinePoint {
  readonly second: number;
  readonly outcomes: OutcomeCounts;
}
