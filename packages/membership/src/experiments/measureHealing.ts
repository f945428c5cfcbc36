import createFakeNetwork from './createFakeNetwork.js';
import createEntryRecords from './createEntryRecords.js';
import type FakeNetwork from './FakeNetwork.js';
import type Healing from './Healing.js';
import quantile from './quantile.js';
import startEntries from './startEntries.js';

const SETTLE_MILLISECONDS = 90_000;
const STEP_MILLISECONDS = 100;
const TIMEOUT_MILLISECONDS = 300_000;
const MILLISECONDS_PER_SECOND = 1_000;
const SEED = 41;

type Scenario = Omit<Healing, 'median' | 'maximum'>;

/** Whether an entry is in the first half of a group, by the number at the end of its identifier. */
function isFirstHalf(entry: string, entries: number): boolean {
  return Number(entry.split('-').at(-1)) < entries / 2;
}

function cutHalves(network: FakeNetwork, entries: number): void {
  network.cut((from, to) => isFirstHalf(from.entry, entries) !== isFirstHalf(to.entry, entries));
}

function cutRegion(network: FakeNetwork): void {
  network.cut((from, to) => (from.region === 'region-0') !== (to.region === 'region-0'));
  network.store.setReachable((entry) => !entry.startsWith('entry-r0-'));
  network.store.publish();
}

function isHealed(network: FakeNetwork, { cut, entries }: Scenario): boolean {
  const running = [...network.entries.values()];
  return cut === 'halves'
    ? running.every(({ membership }) => (
      membership.members().filter(({ state }) => state === 'alive').length === entries - 1))
    : running.every(({ dissemination }) => dissemination.head().sequenceInForce >= network.store.sequence);
}

function measureCut(network: FakeNetwork, scenario: Scenario): number {
  if (scenario.cut === 'halves') {
    cutHalves(network, scenario.entries);
  } else {
    cutRegion(network);
  }
  network.runFor(scenario.cutSeconds * MILLISECONDS_PER_SECOND);
  network.heal();
  network.store.setReachable(() => true);
  const healedAt = network.now;
  while (!isHealed(network, scenario) && network.now - healedAt < TIMEOUT_MILLISECONDS) {
    network.runFor(STEP_MILLISECONDS);
  }
  return isHealed(network, scenario) ? (network.now - healedAt) / MILLISECONDS_PER_SECOND : Infinity;
}

/** Repeatedly partitions a group or isolates a region and measures the time to recover. */
export default function measureHealing(scenario: Scenario): Healing {
  const network = createFakeNetwork({ seed: SEED, loss: 0.01 });
  startEntries(network, createEntryRecords(scenario.entries, scenario.regions));
  network.runFor(SETTLE_MILLISECONDS);
  const times = Array.from({ length: scenario.cuts }, () => measureCut(network, scenario));
  return { ...scenario, median: quantile(times, 0.5), maximum: Math.max(...times) };
}
