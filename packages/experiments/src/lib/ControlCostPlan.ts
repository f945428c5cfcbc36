/** One size at which the processes are measured without load. */
export default interface ControlCostPlan {
  readonly modelVMsPerZone: number;
  readonly entries: number;
  readonly seconds: number;
}
