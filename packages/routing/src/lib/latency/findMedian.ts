/** The median, for an even count the lower of the middle two; null for no numbers. */
export default function findMedian(numbers: readonly number[]): number | null {
  const sorted = [...numbers].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? null;
}
