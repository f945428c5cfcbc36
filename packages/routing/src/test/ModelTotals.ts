/** Counts of events in a run. */
export default interface ModelTotals {
  dispatches: number;
  coldDispatches: number;
  plans: number;
}
