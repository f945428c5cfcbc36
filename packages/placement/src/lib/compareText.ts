/** Orders texts by code unit, the same on every machine. */
export default function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
