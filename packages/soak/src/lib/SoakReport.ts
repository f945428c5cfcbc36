import type PlannedFault from './faults/PlannedFault.js';
import type measurePathCuts from './journal/measurePathCuts.js';
import type Violation from './journal/Violation.js';

/** Result of a soak. */
export default interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  /** Requests that got a whole success. */
  readonly served: number;
  readonly runs: number;
  readonly faults: readonly PlannedFault[];
  /** Cuts of paths between entries and workers. */
  readonly pathCuts: ReturnType<typeof measurePathCuts>;
  readonly violations: readonly Violation[];
}
