const SIGNIFICANT_DIGITS = 3;
const SMALLEST_WHOLE = 100;

/** Three significant digits below 100, whole numbers above. */
export default function formatNumber(value: number): string {
  return Math.abs(value) >= SMALLEST_WHOLE
    ? Math.round(value).toString()
    : Number(value.toPrecision(SIGNIFICANT_DIGITS)).toString();
}
