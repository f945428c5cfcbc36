import type { WorkerId } from '@dandelionlane/core';
import type { GroupMembership } from '@dandelionlane/fleet';

/** The group that a worker reports to belong to. */
export default interface ReportedGroup {
  readonly worker: WorkerId;
  readonly group: GroupMembership | null;
}
