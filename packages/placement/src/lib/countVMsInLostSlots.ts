/** VMs in slots for larger groups that the domain loses, over all larger sizes wanted. */
export default function countVMsInLostSlots(
  free: number,
  groupSize: number,
  groupSizes: readonly number[],
): number {
  let broken = 0;
  for (const size of groupSizes) {
    const lost = Math.floor(free / size) - Math.floor((free - groupSize) / size);
    if (size > groupSize) broken += lost * size;
  }
  return broken;
}
