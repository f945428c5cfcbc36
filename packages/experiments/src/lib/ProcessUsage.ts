/** Processor time since the start of a process, and its resident memory now. */
export default interface ProcessUsage {
  readonly processorSeconds: number;
  readonly residentMebibytes: number;
}
