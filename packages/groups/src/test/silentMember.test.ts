import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { FabricDomainId } from '@dandelionlane/core';
import type { GroupWorker } from '@dandelionlane/standin';
import ControlledFleet from './ControlledFleet.js';

const DOMAIN = FabricDomainId.parse('d');
const WORKERS = 26;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Workers of which none is left over beside their group. */
const WORKERS_WITHOUT_SPARES = 4;

/** Rounds of 40 ms: 1.2 s. */
const SHORT_SILENCE_ROUNDS = 30;

/** A fleet with a group in which one member has stopped answering the holder. */
async function silenceMember(workers = WORKERS) {
  const fleet = new ControlledFleet();
  fleet.addAll(workers, DOMAIN);
  fleet.start();
  await fleet.rounds(60);
  const head = fleet.serving()[0] as GroupWorker;
  const formation = head.group?.epoch;
  const member = fleet.fleet.get(head.members[1] as GroupWorker['id']) as GroupWorker;
  member.alive = false;
  return {
    fleet, head, member, formation,
  };
}

test('a member that only the holder cannot reach stays while its group makes progress', async () => {
  const { fleet, head, formation } = await silenceMember();
  for (let round = 0; round < 100; round += 1) {
    fleet.progress(head);
    await fleet.round();
  }
  expect(head.group?.epoch).toBe(formation);
  expect(head.isServing).toBe(true);
  await fleet.rounds(100);
  fleet.stop();
  expect(head.group?.epoch).not.toBe(formation);
});

test('a silent member of a stalled group is replaced', async () => {
  const { fleet, head, formation } = await silenceMember();
  await fleet.rounds(100);
  fleet.stop();
  expect(head.group?.epoch).not.toBe(formation);
  expect(head.isServing).toBe(true);
});

/** Strategies of the orders to close that a worker has taken. */
function watchCloses(head: GroupWorker): readonly string[] {
  const strategies: string[] = [];
  const take = head.take.bind(head);
  Object.assign(head, {
    take: (...[order, stamp]: Parameters<GroupWorker['take']>) => {
      strategies.push(...(order.kind === 'close' ? [order.strategy] : []));
      return take(order, stamp);
    },
    // Requests that run keep the group closing.
    settle: () => undefined,
  });
  return strategies;
}

// Guards against streams that are cut while a sound worker is silent for a second and none can replace it.
test('a group without replacements finishes its streams while a member is silent', async () => {
  const { fleet, head, member } = await silenceMember(WORKERS_WITHOUT_SPARES);
  const closes = watchCloses(head);
  await fleet.rounds(SHORT_SILENCE_ROUNDS);
  member.alive = true;
  await fleet.rounds(SHORT_SILENCE_ROUNDS);
  fleet.stop();
  expect(closes).toEqual(['finish']);
});

test('a group without replacements cuts its streams once a member has been silent for long', async () => {
  const { fleet, head, formation } = await silenceMember(WORKERS_WITHOUT_SPARES);
  const closes = watchCloses(head);
  await fleet.rounds(3 * SHORT_SILENCE_ROUNDS);
  fleet.stop();
  expect(closes).toEqual(['finish', 'cut']);
  expect(head.group).toMatchObject({ epoch: formation, state: 'ready' });
});
