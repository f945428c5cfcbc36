import { type EntryId, SeededRandom } from '@dandelionlane/core';
import createEntryRecords from './createEntryRecords.js';
import createVariantNetwork from './createVariantNetwork.js';
import type Detection from './Detection.js';
import type FakeNetwork from './FakeNetwork.js';
import quantile from './quantile.js';
import startEntries from './startEntries.js';
import type Variant from './Variant.js';

const SEED = 11;
const SETTLE_MILLISECONDS = 60_000;
const PAUSE_BETWEEN_CRASHES_MILLISECONDS = 5_000;
const STEP_MILLISECONDS = 500;
const TIMEOUT_MILLISECONDS = 60_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Times from a crash, in seconds. */
interface CrashTimes {
  readonly firstSuspicion: number;
  readonly deadEverywhere: number;
}

/** States of a crashed member in all views; `dead` where it is unknown. */
function statesOf(network: FakeNetwork, crashed: EntryId): string[] {
  return [...network.entries.values()].map(({ membership }) => (
    membership.members().find(({ entry }) => entry.entry === crashed)?.state ?? 'dead'
  ));
}

function observeCrash(network: FakeNetwork, crashed: EntryId): CrashTimes {
  const startedAt = network.now;
  let firstSuspicion = Number.NaN;
  network.crash(crashed);
  while (network.now - startedAt < TIMEOUT_MILLISECONDS) {
    network.runFor(STEP_MILLISECONDS);
    const states = statesOf(network, crashed);
    const elapsedSeconds = (network.now - startedAt) / MILLISECONDS_PER_SECOND;
    if (Number.isNaN(firstSuspicion) && states.some((state) => state !== 'alive')) {
      firstSuspicion = elapsedSeconds;
    }
    if (states.every((state) => state === 'dead')) {
      return { firstSuspicion, deadEverywhere: elapsedSeconds };
    }
  }
  return { firstSuspicion, deadEverywhere: Number.POSITIVE_INFINITY };
}

/** Crashes entries one after another and measures the time to detection by the others. */
export default function measureDetection(variant: Variant, entries: number, crashes: number): Detection {
  const records = createEntryRecords(entries, 1);
  const network = createVariantNetwork(variant, records, { seed: SEED });
  startEntries(network, records);
  network.runFor(SETTLE_MILLISECONDS);
  const random = new SeededRandom(SEED);
  const times = Array.from({ length: crashes }, () => {
    const running = [...network.entries.keys()];
    const crashed = running[Math.floor(random.next() * running.length)]!;
    const observed = observeCrash(network, crashed);
    network.runFor(PAUSE_BETWEEN_CRASHES_MILLISECONDS);
    return observed;
  });
  const everywhere = times.map(({ deadEverywhere }) => deadEverywhere);
  return {
    variant,
    entries,
    crashes,
    firstSuspicionMedian: quantile(times.map(({ firstSuspicion }) => firstSuspicion), 0.5),
    deadEverywhereMedian: quantile(everywhere, 0.5),
    deadEverywhereMaximum: Math.max(...everywhere),
  };
}
