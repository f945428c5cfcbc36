import { formationName, type Worker } from '@dandelionlane/fleet';

/** Key that identifies a membership and its state; empty without a group. */
export default function toMembershipKey({ group }: Pick<Worker, 'group'>): string {
  return group === null ? '' : `${formationName(group)}/${group.state}`;
}
