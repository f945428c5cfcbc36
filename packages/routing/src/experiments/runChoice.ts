import { SeededRandom } from '@dandelionlane/core';
import type ChoicePolicy from './ChoicePolicy.js';
import Distribution from './Distribution.js';
import drawInterarrivalMilliseconds from './drawInterarrivalMilliseconds.js';
import drawRequestSize from './drawRequestSize.js';
import FakeEngine from './FakeEngine.js';
import BaselinePolicy from './BaselinePolicy.js';
import printTable from './printTable.js';
import RoutingPolicy from './RoutingPolicy.js';
import type RoutingPolicyOptions from './RoutingPolicyOptions.js';
import Simulation from './Simulation.js';

const ENTRIES = 3;
const ENGINES = 9;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const RUN_MILLISECONDS = 240_000;
const WARM_UP_MILLISECONDS = 40_000;
const STRAGGLER_FROM_MILLISECONDS = 100_000;
const STRAGGLER_SLOWNESS = 4;
const REPORT_MILLISECONDS = 1_000;
const REPORT_LAG_MILLISECONDS = 500;
const CACHE_EVENT_LAG_MILLISECONDS = 2_000;
const LOST_CACHE_EVENTS = 0.2;

/** Parameters that differ between runs. */
interface Scenario {
  readonly perSecond: number;
  readonly hasStraggler: boolean;
  readonly prefixes: number;
  readonly seed: number;
}

/** Creates the policy of one entry. */
type PolicyFactory = (simulation: Simulation, entry: number, seed: number) => ChoicePolicy;

const FULL: RoutingPolicyOptions = { hasAffinity: true, hasLocalLoad: true, hasEjection: true };

function routing(options: RoutingPolicyOptions): PolicyFactory {
  return (simulation, entry, seed) => {
    const zones = Array.from({ length: ENGINES }, (_, engine) => ZONES[engine % ZONES.length] ?? '');
    return new RoutingPolicy(simulation, new SeededRandom(seed + entry), zones, ZONES[entry] ?? '', options);
  };
}

const POLICIES: Readonly<Record<string, PolicyFactory>> = {
  'round robin': () => new BaselinePolicy(ENGINES, null),
  random: (_, entry, seed) => new BaselinePolicy(ENGINES, new SeededRandom(seed + 100 + entry)),
  routing: routing(FULL),
  'without affinity': routing({ ...FULL, hasAffinity: false }),
  'without own work': routing({ ...FULL, hasLocalLoad: false }),
  'without ejection': routing({ ...FULL, hasEjection: false }),
};

/** Schedules the load reports of the engines, which reach the entries with a lag. */
function connectReports(
  simulation: Simulation,
  engines: readonly FakeEngine[],
  policies: readonly ChoicePolicy[],
  random: SeededRandom,
): void {
  engines.forEach((engine, index) => {
    const offset = random.next() * REPORT_MILLISECONDS;
    simulation.every(REPORT_MILLISECONDS, offset, () => {
      const report = engine.report();
      simulation.after(REPORT_LAG_MILLISECONDS, () => (
        policies.forEach((each) => each.recordReport(index, report))));
    });
  });
}

/** Creates engines whose cache events reach the entries late or not at all. */
function makeEngines(
  simulation: Simulation,
  policies: readonly ChoicePolicy[],
  random: SeededRandom,
): readonly FakeEngine[] {
  return Array.from({ length: ENGINES }, (_, index) => new FakeEngine(simulation, (prefix) => {
    policies.filter(() => random.next() >= LOST_CACHE_EVENTS).forEach((policy) => {
      simulation.after(CACHE_EVENT_LAG_MILLISECONDS, () => policy.recordCachedPrefix(index, prefix));
    });
  }));
}

function runOne(name: string, factory: PolicyFactory, scenario: Scenario): Record<string, string | number> {
  const simulation = new Simulation();
  const random = new SeededRandom(scenario.seed);
  const policies = Array.from({ length: ENTRIES }, (_, entry) => factory(simulation, entry, scenario.seed));
  const other = new SeededRandom(scenario.seed + 1);
  const engines = makeEngines(simulation, policies, other);
  const firstToken = new Distribution();
  const gaps = new Distribution();
  connectReports(simulation, engines, policies, other);
  let sent = 0;
  const arrive = (): void => {
    simulation.after(drawInterarrivalMilliseconds(random, scenario.perSecond), arrive);
    const policy = policies[Math.floor(random.next() * ENTRIES)];
    const size = drawRequestSize(random, scenario.prefixes);
    const engine = policy?.choose(size) ?? 0;
    sent += 1;
    const id = `request-${sent}`;
    const sentAt = simulation.now;
    let firstTokenAt = sentAt;
    const isCounted = sentAt > WARM_UP_MILLISECONDS;
    policy?.recordDispatch(engine, id, size);
    engines[engine]?.submit({
      ...size,
      onFirstToken: () => {
        firstTokenAt = simulation.now;
        if (isCounted) {
          firstToken.add(simulation.now - sentAt);
        }
      },
      onGap: (milliseconds) => {
        if (isCounted) {
          gaps.add(milliseconds);
        }
      },
      onEnd: (outcome) => {
        const gap = (simulation.now - firstTokenAt) / Math.max(1, size.outputTokens - 1);
        policy?.recordCompletion(engine, id, outcome === 'success' ? gap : null);
      },
    });
  };
  arrive();
  simulation.after(STRAGGLER_FROM_MILLISECONDS, () => {
    engines[0]?.slowDown(scenario.hasStraggler ? STRAGGLER_SLOWNESS : 1);
  });
  simulation.runUntil(RUN_MILLISECONDS);
  const hits = engines.reduce((sum, { hitShare }) => sum + hitShare, 0) / ENGINES;
  return {
    policy: name,
    'first token p50 ms': firstToken.quantile(0.5),
    'p95 ms': firstToken.quantile(0.95),
    'p99 ms': firstToken.quantile(0.99),
    'between tokens p50 ms': gaps.quantile(0.5),
    'p95 between ms': gaps.quantile(0.95),
    'p99 between ms': gaps.quantile(0.99),
    'prefix hits': Math.round(hits * 100) / 100,
    answered: firstToken.count,
  };
}

/** Compares policies of target choice by latency under load, with and without a straggler. */
export default function runChoice(): void {
  const scenarios: Record<string, Scenario> = {
    'moderate load, no straggler': {
      perSecond: 18, hasStraggler: false, prefixes: 48, seed: 1,
    },
    'high load, no straggler': {
      perSecond: 28, hasStraggler: false, prefixes: 48, seed: 2,
    },
    'moderate load, one straggler': {
      perSecond: 18, hasStraggler: true, prefixes: 48, seed: 3,
    },
    'moderate load, more prefixes than caches hold': {
      perSecond: 18, hasStraggler: false, prefixes: 1_000, seed: 4,
    },
  };
  Object.entries(scenarios).forEach(([title, scenario]) => {
    const rows = Object.entries(POLICIES).map(([name, factory]) => runOne(name, factory, scenario));
    printTable(`Choice of target, ${title}, ${scenario.perSecond} requests/s, seed ${scenario.seed}`, rows);
  });
}
