import type { GroupMembership } from '@dandelionlane/fleet';
import type { GroupWorker } from '@dandelionlane/standin';
import type SoakJournal from '../journal/SoakJournal.js';

/** A group as its members know it. */
interface MemberGroup {
  readonly group: GroupMembership;
  readonly members: readonly string[];
}

function keyOf(worker: string, { name, epoch }: GroupMembership): string {
  return `${worker} ${name}/${epoch}`;
}

/** Watches the promises on groups of workers, from what the workers do. */
export default class SoakGroups {
  readonly #journal: SoakJournal;

  readonly #groupSize: number;

  readonly #workers = new Map<string, GroupWorker>();

  /** Workers that have been ready in a formation. */
  readonly #ready = new Set<string>();

  constructor(journal: SoakJournal, groupSize: number) {
    this.#journal = journal;
    this.#groupSize = groupSize;
  }

  add(worker: GroupWorker): void {
    this.#workers.set(worker.id, worker);
  }

  noteReady(worker: GroupWorker): void {
    if (worker.group?.state === 'ready') {
      this.#ready.add(keyOf(worker.id, worker.group));
    }
  }

  /** Whether a member is gone or belongs to another formation, so that the group stands still. */
  standsStill({ group, members }: MemberGroup): boolean {
    return members.some((id) => {
      const member = this.#workers.get(id);
      return member === undefined || !member.alive
        || member.group?.name !== group.name || member.group.epoch !== group.epoch;
    });
  }

  /** Called as a request begins to run at a head. */
  checkRun(head: GroupWorker): void {
    const { group, members } = head;
    if (group === null || members.length !== this.#groupSize) {
      this.#journal.violated('partial', `${head.id} ran in a group of ${members.length}`);
      return;
    }
    members.filter((id) => !this.#ready.has(keyOf(id, group))).forEach((id) => {
      this.#journal.violated('partial', `${head.id} ran in ${group.name}/${group.epoch}, of which ${id} was never ready`);
    });
  }

  /** Called when a worker has taken a join, with the group that it was in. */
  checkJoin(worker: GroupWorker, former: MemberGroup | null): void {
    const head = former === null ? undefined : this.#workers.get(former.members[0] ?? '');
    if (former === null || head === undefined || head.id === worker.id || !head.alive) {
      return;
    }
    const { group } = head;
    const isSame = group?.name === former.group.name && group.epoch === former.group.epoch;
    if (isSame && (group.state === 'open' || group.state === 'closing')) {
      this.#journal.violated('two', `${worker.id} joined ${String(worker.group?.name)} while ${head.id} served ${group.name}`);
    }
  }
}
