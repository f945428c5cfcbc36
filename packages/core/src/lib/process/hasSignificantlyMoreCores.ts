/** Ratio of processor cores above which the difference is significant. */
const SIGNIFICANT_CORE_RATIO = 1.5;

/** Whether one process may use significantly more processor time than another, both in cores. */
export default function hasSignificantlyMoreCores(
  processorCores: number,
  otherProcessorCores: number,
): boolean {
  return processorCores > otherProcessorCores * SIGNIFICANT_CORE_RATIO;
}
