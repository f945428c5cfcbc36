const WARM_UP_MILLISECONDS = 100;
const BATCHES = 9;
const BATCH_MILLISECONDS = 20;
const MICROSECONDS_PER_MILLISECOND = 1_000;

function runFor(milliseconds: number, operation: () => void): number {
  const startedAt = performance.now();
  let count = 0;
  while (performance.now() - startedAt < milliseconds) {
    operation();
    count += 1;
  }
  return (performance.now() - startedAt) / count;
}

/** Microseconds that one run of an operation takes: the median of batches after a warm-up. */
export default function timeOperation(operation: () => void): number {
  runFor(WARM_UP_MILLISECONDS, operation);
  const batches = Array.from({ length: BATCHES }, () => runFor(BATCH_MILLISECONDS, operation));
  const sorted = batches.sort((left, right) => left - right);
  return sorted[Math.floor(BATCHES / 2)]! * MICROSECONDS_PER_MILLISECOND;
}
