/** Splits a limit into integer shares that differ by at most one; the first ones get the remainder. */
export default function splitEvenly(limit: number, parts: number): readonly number[] {
  const base = Math.floor(limit / Math.max(1, parts));
  const remainder = limit - base * parts;
  return Array.from({ length: parts }, (_, index) => base + (index < remainder ? 1 : 0));
}
