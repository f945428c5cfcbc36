import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { FabricDomainId } from '@dandelionlane/core';
import ControlledFleet from './ControlledFleet.js';

const DOMAIN = FabricDomainId.parse('d');
const WORKERS = 26;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Serving formations with the number of orders that their heads have accepted. */
function serving(fleet: ControlledFleet): readonly string[] {
  return fleet.serving().map(({ id, group, sequence }) => `${id} ${group?.name}/${group?.epoch} ${sequence}`);
}

async function recorded(fleet: ControlledFleet): Promise<readonly string[]> {
  return (await fleet.rows.scan('groups', ''))._unsafeUnwrap().map(({ key }) => key);
}

async function formGroups() {
  const fleet = new ControlledFleet();
  const empty = fleet.rows.backUp();
  fleet.addAll(WORKERS, DOMAIN);
  fleet.start();
  await fleet.rounds(60);
  const formed = serving(fleet);
  expect(formed.length).toBeGreaterThan(1);
  return { fleet, empty, formed };
}

test('a holder writes its records again after a restoration and moves no worker', async () => {
  const { fleet, empty, formed } = await formGroups();
  const names = await recorded(fleet);
  fleet.restoreStore(empty, true);
  expect(await recorded(fleet)).toEqual([]);
  await fleet.rounds(60);
  fleet.stop();
  expect(serving(fleet)).toEqual(formed);
  expect(await recorded(fleet)).toEqual(names);
});

test('a new holder adopts complete groups that the store has lost', async () => {
  const { fleet, empty, formed } = await formGroups();
  const names = await recorded(fleet);
  fleet.restoreStore(empty, false);
  fleet.takeOver(2);
  await fleet.rounds(60);
  fleet.stop();
  expect(serving(fleet)).toEqual(formed);
  expect(await recorded(fleet)).toEqual(names);
});

test('an older formation in the copy does not break up the current one', async () => {
  const { fleet, formed } = await formGroups();
  const copy = fleet.rows.backUp();
  const [member] = [...fleet.fleet.values()].filter(({ group }) => group?.rank === 1);
  member?.restart(2);
  if (member !== undefined) {
    fleet.register(member, DOMAIN);
  }
  await fleet.rounds(120);
  const present = serving(fleet);
  expect(present).not.toEqual(formed);
  fleet.restoreStore(copy, false);
  fleet.takeOver(2);
  await fleet.rounds(120);
  fleet.stop();
  expect(serving(fleet)).toEqual(present);
});

test('records that were deleted after the copy was made are deleted again', async () => {
  const { fleet } = await formGroups();
  const copy = fleet.rows.backUp();
  const [name] = await recorded(fleet);
  [...fleet.fleet.values()].filter(({ group }) => group?.name === name).forEach((worker) => {
    worker.restart(2);
    fleet.register(worker, DOMAIN);
  });
  await fleet.rounds(60);
  expect(await recorded(fleet)).not.toContain(name);
  fleet.restoreStore(copy, true);
  expect(await recorded(fleet)).toContain(name);
  await fleet.rounds(60);
  fleet.stop();
  expect(await recorded(fleet)).not.toContain(name);
});

test('a formation in progress continues after a restoration', async () => {
  const fleet = new ControlledFleet();
  const empty = fleet.rows.backUp();
  fleet.addAll(WORKERS, DOMAIN);
  fleet.start();
  while ((await recorded(fleet)).length === 0) {
    await fleet.round();
  }
  const names = await recorded(fleet);
  fleet.restoreStore(empty, true);
  await fleet.rounds(60);
  fleet.stop();
  expect(await recorded(fleet)).toEqual(names);
});

test('a complete group with a member that answers late is adopted, not closed', async () => {
  const { fleet, empty, formed } = await formGroups();
  const member = [...fleet.fleet.values()].find(({ group }) => group?.rank === 1);
  fleet.restoreStore(empty, false);
  Object.assign(member ?? {}, { alive: false });
  fleet.takeOver(2);
  await fleet.rounds(2);
  Object.assign(member ?? {}, { alive: true });
  await fleet.rounds(60);
  fleet.stop();
  expect(serving(fleet)).toEqual(formed);
});
