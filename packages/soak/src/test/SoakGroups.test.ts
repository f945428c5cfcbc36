import { expect, test } from 'vitest';
import {
  Epoch, FencingNumber, GroupName, ModelName, WorkerId,
} from '@dandelionlane/core';
import { GroupWorker } from '@dandelionlane/standin';
import SoakJournal from '../lib/journal/SoakJournal.js';
import SoakGroups from '../lib/workers/SoakGroups.js';

const MODEL = ModelName.parse('m0');

function create() {
  const journal = new SoakJournal();
  const groups = new SoakGroups(journal, 2);
  const workers = ['a', 'b', 'c'].map((id) => new GroupWorker(id, 1));
  workers.forEach((worker) => groups.add(worker));
  const join = (index: number, epoch: number, members: readonly number[]) => {
    const worker = workers[index];
    const former = worker?.group == null ? null : { group: worker.group, members: worker.members };
    worker?.take({
      kind: 'join',
      group: GroupName.parse('g'),
      epoch: Epoch.parse(epoch),
      model: MODEL,
      members: members.map((member) => WorkerId.parse(String(workers[member]?.id))),
    }, { fencing: FencingNumber.parse(1), expectedSequence: worker.sequence });
    if (worker !== undefined) {
      groups.checkJoin(worker, former);
      worker.settle();
    }
  };
  const open = (index: number, epoch: number) => workers[index]?.take(
    { kind: 'open', group: GroupName.parse('g'), epoch: Epoch.parse(epoch) },
    { fencing: FencingNumber.parse(1), expectedSequence: workers[index].sequence },
  );
  const promises = () => journal.violations.map(({ promise }) => promise);
  return {
    groups, workers, join, open, promises,
  };
}

test('a head that runs before all members were ready is found', () => {
  const {
    groups, workers, join, open, promises,
  } = create();
  const [head, member] = workers;
  join(0, 1, [0, 1]);
  join(1, 1, [0, 1]);
  open(0, 1);
  if (head === undefined || member === undefined) {
    throw new Error('no workers');
  }
  groups.noteReady(member);
  // The head reports itself open, so it was ready before; it is noted as the soak's workers do.
  head.group = head.group === null ? null : { ...head.group, state: 'ready' };
  groups.noteReady(head);
  groups.checkRun(head);
  expect(promises()).toEqual([]);
  join(0, 2, [0, 2]);
  groups.checkRun(head);
  expect(promises()).toContain('partial');
});

test('a member that joins elsewhere while its head serves is found', () => {
  const {
    join, open, promises, workers,
  } = create();
  join(0, 1, [0, 1]);
  join(1, 1, [0, 1]);
  open(0, 1);
  join(1, 2, [1, 2]);
  expect(promises()).toEqual(['two']);
  const [head] = workers;
  expect(head?.isServing).toBe(true);
});
