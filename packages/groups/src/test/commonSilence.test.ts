import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { FabricDomainId } from '@dandelionlane/core';
import ControlledFleet from './ControlledFleet.js';

const DOMAIN = FabricDomainId.parse('d');
const WORKERS = 26;

/** Rounds of 40 ms: 1.4 s, enough to miss several probes. */
const SHORT_SILENCE_ROUNDS = 35;

/** Rounds of 40 ms: 6 s. */
const LONG_SILENCE_ROUNDS = 150;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** A fleet with groups whose workers have all fallen silent. */
async function silenceAll() {
  const fleet = new ControlledFleet();
  fleet.addAll(WORKERS, DOMAIN);
  fleet.start();
  await fleet.rounds(60);
  const heads = fleet.serving();
  const epochs = () => heads.map(({ group }) => group?.epoch);
  const setAnswering = (isAnswering: boolean) => fleet.fleet.forEach((worker) => {
    Object.assign(worker, { alive: isAnswering });
  });
  const formed = epochs();
  setAnswering(false);
  return {
    fleet, heads, formed, epochs, goOn: () => setAnswering(true),
  };
}

// Guards against a fleet without a holder after all workers have been silent for a second.
test('a holder keeps the lease while all workers are silent for a second', async () => {
  const {
    fleet, heads, formed, epochs, goOn,
  } = await silenceAll();
  await fleet.rounds(SHORT_SILENCE_ROUNDS);
  goOn();
  await fleet.rounds(SHORT_SILENCE_ROUNDS);
  fleet.stop();
  expect(heads.length).toBeGreaterThan(0);
  expect(fleet.resignations).toBe(0);
  expect(epochs()).toEqual(formed);
});

// Guards against a lease that is given up as the first streams go on after a silence of all workers.
test('a holder keeps the lease while its workers go on after a silence', async () => {
  const { fleet, heads, goOn } = await silenceAll();
  await fleet.rounds(SHORT_SILENCE_ROUNDS);
  goOn();
  for (let round = 0; round < SHORT_SILENCE_ROUNDS; round += 1) {
    heads.forEach((head) => fleet.progress(head));
    await fleet.round();
  }
  fleet.stop();
  expect(fleet.resignations).toBe(0);
});

test('a holder that others bypass gives the lease up', async () => {
  const { fleet, heads } = await silenceAll();
  for (let round = 0; round < SHORT_SILENCE_ROUNDS && fleet.resignations === 0; round += 1) {
    heads.slice(0, 1).forEach((head) => fleet.progress(head));
    await fleet.round();
  }
  fleet.stop();
  expect(fleet.resignations).toBe(1);
});

test('a holder whose workers stay silent gives the lease up', async () => {
  const { fleet } = await silenceAll();
  await fleet.rounds(LONG_SILENCE_ROUNDS);
  fleet.stop();
  expect(fleet.resignations).toBeGreaterThan(0);
});
