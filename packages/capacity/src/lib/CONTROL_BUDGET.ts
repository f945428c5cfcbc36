/** What one node may spend on control, and what the store gives in all. */
const CONTROL_BUDGET = {
  microsecondsPerSecond: 27_000,
  bytesPerSecond: 26_000,
  memoryBytes: 32_000_000,
  storeReadsPerSecond: 2_000,
  storeWritesPerSecond: 300,
} as const;

export default CONTROL_BUDGET;
