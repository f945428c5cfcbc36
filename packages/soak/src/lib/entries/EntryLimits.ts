/** Limits of the machine that an entry runs on. */
export default interface EntryLimits {
  readonly memoryBytes: number;
  readonly maximumDescriptors: number;
  /** Limit on the heap of the process, in MiB. */
  readonly heapMegabytes: number;
}
