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

/** A fleet with a group in which one member has stopped answering the holder. */
async function silenceMember() {
  const fleet = new ControlledFleet();
  fleet.addAll(WORKERS, DOMAIN);
  fleet.start();
  await fleet.rounds(60);
  const head = fleet.serving()[0] as GroupWorker;
  const formation = head.group?.epoch;
  const member = fleet.fleet.get(head.members[1] as GroupWorker['id']) as GroupWorker;
  member.alive = false;
  return { fleet, head, formation };
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
