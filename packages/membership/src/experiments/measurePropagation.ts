import { type EntryId, SeededRandom } from '@dandelionlane/core';
import createEntryRecords from './createEntryRecords.js';
import createVariantNetwork from './createVariantNetwork.js';
import type FakeNetwork from './FakeNetwork.js';
import type Propagation from './Propagation.js';
import quantile from './quantile.js';
import startEntries from './startEntries.js';
import type Variant from './Variant.js';

const SEED = 31;
const SETTLE_MILLISECONDS = 90_000;
const STEP_MILLISECONDS = 20;
const TIMEOUT_MILLISECONDS = 60_000;
const MEAN_INTERVAL_MILLISECONDS = 1_350;
const MILLISECONDS_PER_SECOND = 1_000;

type Scenario = Omit<Propagation, 'variant' | 'median' | 'maximum'>;

function publish(network: FakeNetwork, { publishedThrough }: Scenario, random: SeededRandom): number {
  switch (publishedThrough) {
    case 'entry': {
      const entries = [...network.entries.values()];
      return network.publishThrough(entries[Math.floor(random.next() * entries.length)]!);
    }
    case 'store':
      return network.store.publish();
    default:
      throw new Error(`unknown publisher ${String(publishedThrough satisfies never)}`);
  }
}

/** Seconds until every entry has the sequence in force. */
function measureSecondsToAll(network: FakeNetwork, sequence: number): number {
  const startedAt = network.now;
  const entries = [...network.entries.values()];
  while (network.now - startedAt < TIMEOUT_MILLISECONDS) {
    network.runFor(STEP_MILLISECONDS);
    if (entries.every(({ dissemination }) => dissemination.head().sequenceInForce >= sequence)) {
      return (network.now - startedAt) / MILLISECONDS_PER_SECOND;
    }
  }
  return Number.POSITIVE_INFINITY;
}

/** Publishes changes one after another and measures the time until each is in force everywhere. */
export default function measurePropagation(variant: Variant, scenario: Scenario): Propagation {
  const records = createEntryRecords(scenario.entries, scenario.regions);
  const network = createVariantNetwork(variant, records, { seed: SEED, loss: scenario.loss });
  startEntries(network, records);
  network.runFor(SETTLE_MILLISECONDS);
  const regions = [...new Set(records.map(({ region }) => region))];
  const without = new Set(regions.slice(regions.length - scenario.regionsWithoutStore));
  const unreachable = new Set<EntryId>(records
    .filter(({ region }) => without.has(region))
    .map(({ entry }) => entry));
  network.store.setReachable((entry) => !unreachable.has(entry));
  const random = new SeededRandom(SEED);
  const times = Array.from({ length: scenario.changes }, () => {
    network.runFor(Math.ceil(2 * MEAN_INTERVAL_MILLISECONDS * random.next()));
    return measureSecondsToAll(network, publish(network, scenario, random));
  });
  return {
    variant, ...scenario, median: quantile(times, 0.5), maximum: Math.max(...times),
  };
}
