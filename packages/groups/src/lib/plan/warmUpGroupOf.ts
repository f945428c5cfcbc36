import { GroupName, type WorkerId } from '@dandelionlane/core';

/** Name of the group of one in which a spare brings a model's weights from its host into memory. */
export default function warmUpGroupOf(worker: WorkerId): GroupName {
  return GroupName.parse(`warm-up-${worker}`);
}
