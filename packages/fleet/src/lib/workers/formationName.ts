import type GroupMembership from './GroupMembership.js';

/** Name of a formation of a group: `name/epoch`. */
export default function formationName({ name, epoch }: Pick<GroupMembership, 'name' | 'epoch'>): string {
  return `${name}/${epoch}`;
}
