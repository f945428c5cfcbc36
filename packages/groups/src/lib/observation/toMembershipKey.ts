import type { Worker } from '@dandelionlane/fleet';

/** Text that tells memberships with their states apart. */
export default function toMembershipKey({ group }: Pick<Worker, 'group'>): string {
  return group === null ? '' : `${group.name}/${group.epoch}/${group.state}`;
}
