/** VMs in the slots for larger groups that placing a group costs a domain, over all larger sizes. */
export default function countVMsInLostSlots(
  free: number,
  groupSize: number,
  groupSizes: readonly number[],
): number {
  let vms = 0;
  for (const size of groupSizes) {
    const lostSlots = Math.floor(free / size) - Math.floor((free - groupSize) / size);
    if (size > groupSize) vms += lostSlots * size;
  }
  return vms;
}
