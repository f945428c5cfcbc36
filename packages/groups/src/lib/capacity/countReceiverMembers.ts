/**
 * Number of members of dissolved groups that groups of the receiver use; the rest need not load its weights.
 *
 * @param members members of the groups to dissolve
 * @param spares workers of the domain that are free and not reserved
 * @param groupSize size of a group of the receiver
 */
export default function countReceiverMembers(members: number, spares: number, groupSize: number): number {
  return Math.min(members, Math.floor((members + spares) / groupSize) * groupSize);
}
