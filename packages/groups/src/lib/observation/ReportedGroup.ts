import type { GroupMembership, Worker } from '@dandelionlane/fleet';

/** A worker with the group that it reports to be in. */
export default interface ReportedGroup {
  readonly worker: Worker;
  readonly group: GroupMembership | null;
}
