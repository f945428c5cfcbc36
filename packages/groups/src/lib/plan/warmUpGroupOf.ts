import { GroupName, type WorkerId } from '@dandelionlane/core';

/** Name of the single-member group in which a spare loads a model's weights from its host into memory. */
export default function warmUpGroupOf(worker: WorkerId): GroupName {
  return GroupName.parse(`warm-up-${worker}`);
}
