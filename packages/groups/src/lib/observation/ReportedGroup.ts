import type { GroupMembership, Worker } from '@dandelionlane/fleet';

/** A worker and the group that it reports. */
export default interface ReportedGroup {
  readonly worker: Worker;
  readonly group: GroupMembership | null;
}
