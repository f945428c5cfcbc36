import { expect, test } from 'vitest';
import SimulatedLimits from './simulation/SimulatedLimits.js';

const ENTRIES = 9;
const STEP_MILLISECONDS = 20;
const PLAY_MILLISECONDS = 24_000;

/** Window of the users' bound, in s. */
const WINDOW_SECONDS = 4;

// Guards against a limit that all entries keep together only while no link, entry or holder is lost.
test.each([
  ['all links are up', () => undefined],
  ['one link is down', (fleet: SimulatedLimits) => fleet.unlinked.add(3)],
  ['all links are down', (fleet: SimulatedLimits) => {
    Array.from({ length: ENTRIES }, (_, entry) => fleet.unlinked.add(entry));
  }],
  ['entries restart in turn', (fleet: SimulatedLimits) => {
    if (fleet.now % 2_000 < STEP_MILLISECONDS) {
      fleet.restart(1 + (Math.floor(fleet.now / 2_000) % 8));
    }
  }],
  ['the holder changes once a second', (fleet: SimulatedLimits) => {
    if (fleet.now % 1_000 < STEP_MILLISECONDS) {
      fleet.changeHolder(Math.floor(fleet.now / 1_000) % ENTRIES);
    }
  }],
] as const)('a limit is kept while %s', (_name, disturb) => {
  [1, 2, 3, 4, 5].forEach((seed) => {
    [1, 3.4, 6.3].forEach((limit) => {
      const fleet = new SimulatedLimits(ENTRIES, limit, seed);
      while (fleet.now < PLAY_MILLISECONDS) {
        disturb(fleet);
        fleet.step();
      }
      expect(fleet.mostInWindow()).toBeLessThanOrEqual(1.5 * limit * WINDOW_SECONDS + 5);
    });
  });
});
