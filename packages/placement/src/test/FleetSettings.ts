/** Size and timing of the simulated fleet. */
export default interface FleetSettings {
  readonly zones: number;
  readonly domainsPerZone: number;
  readonly vmsPerDomain: number;
  readonly acceleratorsPerVM: number;
  readonly plainVMsPerZone: number;
  /** Load time of one VM at full speed of the weight store, in milliseconds. */
  readonly loadMilliseconds: number;
  /** Number of concurrent loads that the weight store serves at full speed. */
  readonly storeStreams: number;
  /** Time from loaded weights to the first request, in milliseconds. */
  readonly startMilliseconds: number;
  readonly warmUpMilliseconds: number;
  readonly drainMilliseconds: number;
  /** Delivery delay of orders to engines, in milliseconds. */
  readonly orderDelayMilliseconds: number;
}
