/** Compares texts by code unit, so that the order does not depend on the machine's locale. */
export default function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
