/** Size and speeds of the fake fleet. */
export default interface FleetSettings {
  readonly zones: number;
  readonly domainsPerZone: number;
  readonly vmsPerDomain: number;
  readonly acceleratorsPerVM: number;
  readonly plainVMsPerZone: number;
  /** Time of one VM's load when the weight store is idle, in milliseconds. */
  readonly loadMilliseconds: number;
  /** Number of loads that the weight store bears at full speed. */
  readonly storeStreams: number;
  /** Time from the weights to the first request, in milliseconds. */
  readonly startMilliseconds: number;
  readonly warmUpMilliseconds: number;
  readonly drainMilliseconds: number;
  /** Delay of the orders to engines, in milliseconds. */
  readonly orderDelayMilliseconds: number;
}
