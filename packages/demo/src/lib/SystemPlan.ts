/** What `startSystem` starts. */
export default interface SystemPlan {
  /** Directory for settings and logs; it must exist. */
  readonly directory: string;
  readonly availabilityZones: readonly string[];
  /** Model VMs in each zone, all in one fabric domain. */
  readonly modelVMsPerZone: number;
  readonly plainVMsPerZone: number;
  readonly entries: number;
  readonly controllers: number;
  /** Whether the model engines refuse orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Differences from the model VMs' usual timing, as in the settings of the stand-ins. */
  readonly modelTiming?: Readonly<Record<string, number>>;
  /** Whether each zone's VMs run in a process of their own. */
  readonly separateZones?: boolean;
}
