/** Factor of processor time from which a process is stronger by far. */
const STRONGER_FACTOR = 1.5;

/** Whether one process may use far more processor time than another. Both in cores. */
export default function hasSignificantlyMoreCores(
  processorCores: number,
  otherProcessorCores: number,
): boolean {
  return processorCores > otherProcessorCores * STRONGER_FACTOR;
}
