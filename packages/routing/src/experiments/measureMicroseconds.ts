const WARM_UP_RUNS = 2_000;
const ROUNDS = 7;

/** Median over rounds of the mean time per call, in microseconds to three decimal places. */
export default function measureMicroseconds(runs: number, call: (run: number) => void): number {
  for (let run = 0; run < WARM_UP_RUNS; run += 1) {
    call(run);
  }
  const rounds = Array.from({ length: ROUNDS }, () => {
    const startedAt = performance.now();
    for (let run = 0; run < runs; run += 1) {
      call(run);
    }
    return ((performance.now() - startedAt) * 1_000) / runs;
  });
  const median = rounds.sort((left, right) => left - right)[Math.floor(ROUNDS / 2)] ?? NaN;
  return Math.round(median * 1_000) / 1_000;
}
