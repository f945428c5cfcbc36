import { GroupName, hashText, type WorkerId } from '@dandelionlane/core';

/**
 * Name of the single-member group in which a spare loads a model's weights from its host into memory. Has a
 * hash of an id that does not fit into the name of a group.
 */
export default function warmUpGroupOf(worker: WorkerId): GroupName {
  const name = GroupName.safeParse(`warm-up-${worker}`);
  return name.success ? name.data : GroupName.parse(`warm-up-${hashText(worker)}`);
}
