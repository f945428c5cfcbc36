/** How often each thing happened in a run. */
export default interface ModelTotals {
  dispatches: number;
  coldDispatches: number;
  plans: number;
}
