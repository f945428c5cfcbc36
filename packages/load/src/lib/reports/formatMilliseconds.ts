const SIGNIFICANT_DIGITS = 3;

/** A time in milliseconds, short. */
export default function formatMilliseconds(milliseconds: number): string {
  return `${Number(milliseconds.toPrecision(SIGNIFICANT_DIGITS))}`;
}
