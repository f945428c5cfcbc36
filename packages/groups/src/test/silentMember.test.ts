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

async function rounds(
  fleet: ControlledFleet,
  count: number,
  progressing: GroupWorker | null = null,
): Promise<void> {
  for (let round = 0; round < count; round += 1) {
    if (progressing !== null) {
      fleet.progress(progressing);
    }
    await fleet.round();
  }
}

/** A fleet with a group of which one member stops answering the holder. */
async function silenceMember() {
  const fleet = new ControlledFleet();
  for (let index = 0; index < WORKERS; index += 1) {
    fleet.add(`w${index}`, DOMAIN);
  }
  fleet.start();
  await rounds(fleet, 60);
  const head = [...fleet.fleet.values()].find(({ isServing }) => isServing) as GroupWorker;
  const formation = head.group?.epoch;
  const member = fleet.fleet.get(head.members[1] as GroupWorker['id']) as GroupWorker;
  member.alive = false;
  return { fleet, head, formation };
}

test('a member that only the holder cannot reach stays while its group is at work', async () => {
  const { fleet, head, formation } = await silenceMember();
  await rounds(fleet, 100, head);
  expect(head.group?.epoch).toBe(formation);
  expect(head.isServing).toBe(true);
  await rounds(fleet, 100);
  fleet.stop();
  expect(head.group?.epoch).not.toBe(formation);
});

test('a member that is lost with its group at a stand is replaced', async () => {
  const { fleet, head, formation } = await silenceMember();
  await rounds(fleet, 100);
  fleet.stop();
  expect(head.group?.epoch).not.toBe(formation);
  expect(head.isServing).toBe(true);
});
