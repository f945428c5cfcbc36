import { SeededRandom } from '@dandelionlane/core';
import ColdStartEntry from './ColdStartEntry.js';
import type ColdStartPolicy from './ColdStartPolicy.js';
import drawInterarrivalMilliseconds from './drawInterarrivalMilliseconds.js';
import drawRequestSize from './drawRequestSize.js';
import FakeEngine from './FakeEngine.js';
import printTable from './printTable.js';
import Simulation from './Simulation.js';

const ENGINES = 6;
const PER_SECOND = 15;
const PREFIXES = 48;
const RUN_MILLISECONDS = 240_000;
const RESTART_AT_MILLISECONDS = 60_000;
const REPORT_MILLISECONDS = 1_000;
/** Time after the restart in which engines may be overloaded before a report of it arrives. */
const EARLY_MILLISECONDS = 2_000;
const REPORT_LAG_MILLISECONDS = 500;
const WINDOW_MILLISECONDS = 2_000;

/** Number of windows to average over, to smooth the noise of single answers. */
const WINDOWS = 10;

/** Ratio of answered to offered requests that counts as full service. */
const FULL_SERVICE = 0.9;

/** Shares of a cold limit of 2 and a warm limit of 32 among three entries. */
const SHARES = [{ cold: 1, warm: 11 }, { cold: 1, warm: 11 }, { cold: 0, warm: 10 }];

function sum(entries: readonly ColdStartEntry[], kind: 'answered' | 'failed' | 'refused'): number {
  return entries.reduce((total, { outcome }) => total + outcome[kind], 0);
}

/** Seconds from the restart until full service, averaged over `WINDOWS` windows; null if not reached. */
function findFullService(answeredAt: readonly number[]): number | null {
  const windowsPerSecond = 1_000 / WINDOW_MILLISECONDS;
  const needed = (FULL_SERVICE * PER_SECOND * WINDOWS) / windowsPerSecond;
  const index = answeredAt.findIndex((answered, start) => {
    const end = answeredAt[start + WINDOWS];
    return end !== undefined && end - answered >= needed;
  });
  return index < 0 ? null : index / windowsPerSecond;
}

function runOne(policy: ColdStartPolicy, seed: number): Record<string, string | number> {
  const simulation = new Simulation();
  const random = new SeededRandom(seed);
  const engines = Array.from({ length: ENGINES }, () => new FakeEngine(simulation));
  const entries = SHARES.map((shares, index) => (
    new ColdStartEntry(simulation, new SeededRandom(seed + index), engines, policy, shares)));
  engines.forEach((engine, index) => {
    simulation.every(REPORT_MILLISECONDS, random.next() * REPORT_MILLISECONDS, () => {
      const report = engine.report();
      simulation.after(REPORT_LAG_MILLISECONDS, () => {
        entries.forEach((entry) => entry.recordReport(index, report));
      });
    });
  });
  let offered = 0;
  const arrive = (): void => {
    simulation.after(drawInterarrivalMilliseconds(random, PER_SECOND), arrive);
    offered += 1;
    entries[Math.floor(random.next() * entries.length)]?.offer(drawRequestSize(random, PREFIXES));
  };
  simulation.after(REPORT_MILLISECONDS + REPORT_LAG_MILLISECONDS, arrive);
  const overloadRestarts = (): number => (
    engines.reduce((total, engine) => total + engine.overloadRestarts, 0));
  let before = {
    answered: 0, failed: 0, refused: 0, overloadRestarts: 0, offered: 0,
  };
  simulation.after(RESTART_AT_MILLISECONDS, () => {
    engines.forEach((engine) => engine.restart());
    before = {
      answered: sum(entries, 'answered'),
      failed: sum(entries, 'failed'),
      refused: sum(entries, 'refused'),
      overloadRestarts: overloadRestarts(),
      offered,
    };
  });
  let early = 0;
  simulation.after(RESTART_AT_MILLISECONDS + EARLY_MILLISECONDS, () => {
    early = overloadRestarts();
  });
  const answeredAt: number[] = [];
  simulation.every(WINDOW_MILLISECONDS, RESTART_AT_MILLISECONDS, () => {
    answeredAt.push(sum(entries, 'answered'));
  });
  simulation.runUntil(RUN_MILLISECONDS);
  const offeredSinceRestart = offered - before.offered;
  const share = (kind: 'answered' | 'failed' | 'refused'): number => (
    Math.round((1_000 * (sum(entries, kind) - before[kind])) / offeredSinceRestart) / 10);
  return {
    policy,
    seed,
    'falls in first 2 s': early - before.overloadRestarts,
    'falls later': overloadRestarts() - early,
    'full service after s': findFullService(answeredAt) ?? 'not reached',
    'answered % after the return': share('answered'),
    'failed %': share('failed'),
    'refused %': share('refused'),
  };
}

/** Measures overload restarts and time to full service after all engines restart cold under load. */
export default function runColdStart(): void {
  const policies: ColdStartPolicy[] = ['limiter', 'limiter without growth', 'fixed floor', 'no limit'];
  const rows = [1, 2, 3].flatMap((seed) => policies.map((policy) => runOne(policy, seed)));
  printTable('Cold return of six targets under 15 requests/s: cold for 20 s, then a ramp of 10 s', rows);
}
