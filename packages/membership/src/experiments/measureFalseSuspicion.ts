import { type EntryId, SeededRandom } from '@dandelionlane/core';
import type MemberState from '../lib/membership/MemberState.js';
import createEntryRecords from './createEntryRecords.js';
import createVariantNetwork from './createVariantNetwork.js';
import type FalseSuspicion from './FalseSuspicion.js';
import type FakeNetwork from './FakeNetwork.js';
import probePeriodOptions from './probePeriodOptions.js';
import startEntries from './startEntries.js';
import type Variant from './Variant.js';

const SEED = 23;
const SETTLE_MILLISECONDS = 60_000;
const STEP_MILLISECONDS = 200;
const PAUSE_INTERVAL_MILLISECONDS = 20_000;
const MILLISECONDS_PER_MINUTE = 60_000;
const MAXIMUM_DELAY_MILLISECONDS = 100;
const RECENT_PAUSE_MILLISECONDS = 10_000;

/** Parameters of one run. */
interface Scenario {
  readonly entries: number;
  readonly loss: number;
  /** Length of each pause; 0 for no pauses. */
  readonly pauseMilliseconds: number;
  readonly minutes: number;
  readonly probePeriodMilliseconds: number;
}

/** Counts state transitions, separately for running and paused members. */
class TransitionCounter {
  suspicionsOfRunning = 0;

  deathsOfRunning = 0;

  deathsOfPaused = 0;

  readonly #states = new Map<string, MemberState>();

  observe(network: FakeNetwork, isOrWasRecentlyPaused: (entry: EntryId) => boolean): void {
    network.entries.forEach(({ record, membership }) => {
      membership.members().forEach(({ entry, state }) => {
        const key = `${record.entry} ${entry.entry}`;
        if (this.#states.get(key) !== state) {
          this.#states.set(key, state);
          this.#count(state, isOrWasRecentlyPaused(entry.entry));
        }
      });
    });
  }

  #count(state: MemberState, isOrWasRecentlyPaused: boolean): void {
    if (state === 'dead' && isOrWasRecentlyPaused) {
      this.deathsOfPaused += 1;
    } else if (state === 'dead') {
      this.deathsOfRunning += 1;
    } else if (state === 'suspect' && !isOrWasRecentlyPaused) {
      this.suspicionsOfRunning += 1;
    }
  }
}

/** Measures false suspicions and deaths in a group with loss, delay and pauses. */
export default function measureFalseSuspicion(variant: Variant, scenario: Scenario): FalseSuspicion {
  const records = createEntryRecords(scenario.entries, 1);
  const { probePeriodMilliseconds } = scenario;
  const network = createVariantNetwork(variant, records, {
    ...probePeriodOptions({ variant, probePeriodMilliseconds }),
    seed: SEED,
    loss: scenario.loss,
    maximumDelayMilliseconds: MAXIMUM_DELAY_MILLISECONDS,
  });
  startEntries(network, records);
  network.runFor(SETTLE_MILLISECONDS);
  const random = new SeededRandom(SEED);
  const counter = new TransitionCounter();
  const lastPausedAt = new Map<EntryId, number>();
  const isOrWasRecentlyPaused = (entry: EntryId): boolean => network.isPaused(entry)
    || network.now - (lastPausedAt.get(entry) ?? Number.NEGATIVE_INFINITY) < RECENT_PAUSE_MILLISECONDS;
  counter.observe(network, isOrWasRecentlyPaused);
  const startedAt = network.now;
  const initial = {
    suspicionsOfRunning: counter.suspicionsOfRunning,
    deathsOfRunning: counter.deathsOfRunning,
  };
  let pauses = 0;
  while (network.now - startedAt < scenario.minutes * MILLISECONDS_PER_MINUTE) {
    if (scenario.pauseMilliseconds > 0 && (network.now - startedAt) % PAUSE_INTERVAL_MILLISECONDS === 0) {
      const paused = records[Math.floor(random.next() * records.length)]!.entry;
      network.pause(paused);
      pauses += 1;
      network.schedule.after(scenario.pauseMilliseconds, () => {
        lastPausedAt.set(paused, network.now);
        network.resume(paused);
      });
    }
    network.runFor(STEP_MILLISECONDS);
    counter.observe(network, isOrWasRecentlyPaused);
  }
  return {
    variant,
    ...scenario,
    pauses,
    suspicionsOfRunning: counter.suspicionsOfRunning - initial.suspicionsOfRunning,
    deathsOfRunning: counter.deathsOfRunning - initial.deathsOfRunning,
    deathsOfPaused: counter.deathsOfPaused,
  };
}
