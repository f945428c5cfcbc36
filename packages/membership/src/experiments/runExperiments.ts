import measureChurn from './measureChurn.js';
import measureCost from './measureCost.js';
import measureDetection from './measureDetection.js';
import measureFalseSuspicion from './measureFalseSuspicion.js';
import measureHealing from './measureHealing.js';
import measurePropagation from './measurePropagation.js';
import type Propagation from './Propagation.js';

const SIZES = [8, 32, 128, 384, 750] as const;
const FLEET_ENTRIES = 750;
const FLEET_REGIONS = 11;
const REGION_ENTRIES = 68;
const CURRENT_ENTRIES = 9;
const COST_SECONDS = 60;
const NAIVE_COST_SECONDS = 5;
const CRASHES = 8;
const CHANGES = 20;

const DECIMALS = 3;

/** Rounds the numbers of a result for the table. */
function roundNumbers(result: object): object {
  return Object.fromEntries(Object.entries(result).map(([name, value]) => (
    [name, typeof value === 'number' ? Number(value.toFixed(DECIMALS)) : value]
  )));
}

/* eslint-disable no-console -- the report of a command */
function print(title: string, results: readonly object[]): void {
  console.log(`\n${title}`);
  console.table(results.map(roundNumbers));
}
/* eslint-enable no-console */

const SUSPICION_FAULTS = [
  { loss: 0.05, pauseMilliseconds: 0 },
  { loss: 0, pauseMilliseconds: 3_000 },
  { loss: 0.01, pauseMilliseconds: 6_000 },
];

const PROBE_PERIODS_MILLISECONDS = [1_000, 500];

const SUSPICION_SCENARIOS = SUSPICION_FAULTS.flatMap((faults) => (
  [CURRENT_ENTRIES, REGION_ENTRIES].flatMap((entries) => (
    PROBE_PERIODS_MILLISECONDS.map((probePeriodMilliseconds) => ({
      ...faults, entries, probePeriodMilliseconds, minutes: 10,
    }))))));

const PROPAGATION = { loss: 0.01, changes: CHANGES, regionsWithoutStore: 0 };
const PUBLISHED_THROUGH: readonly Propagation['publishedThrough'][] = ['entry', 'store'];

function measureCosts(): void {
  print('Cost of one entry in a stable group', [
    ...SIZES.map((entries) => measureCost({
      variant: 'membership', entries, regions: 1, seconds: COST_SECONDS,
    })),
    measureCost({
      variant: 'membership', entries: FLEET_ENTRIES, regions: FLEET_REGIONS, seconds: COST_SECONDS,
    }),
  ]);
}

function measureDetections(): void {
  const sizes = SIZES.map((entries) => measureDetection('membership', entries, CRASHES));
  print('Time to detect crashes, seconds', sizes);
}

function measureFalseSuspicions(): void {
  const runs = SUSPICION_SCENARIOS.map((scenario) => measureFalseSuspicion('membership', scenario));
  print('False suspicions of live entries', runs);
}

function measurePropagations(): void {
  const topologies = [
    { entries: CURRENT_ENTRIES, regions: 1 },
    { entries: REGION_ENTRIES, regions: 1 },
    { entries: FLEET_ENTRIES, regions: FLEET_REGIONS },
    { entries: FLEET_ENTRIES, regions: FLEET_REGIONS, regionsWithoutStore: 1 },
  ];
  const runs = topologies.flatMap((topology) => PUBLISHED_THROUGH.map((publishedThrough) => (
    measurePropagation('membership', { ...PROPAGATION, ...topology, publishedThrough })
  )));
  print('Time until a change is in force everywhere, seconds', runs);
}

function measureHealings(): void {
  const common = { cuts: 5, cutSeconds: 120 };
  print('Time from the end of a partition to convergence, seconds', [
    measureHealing({
      ...common, entries: CURRENT_ENTRIES, regions: 1, cut: 'halves',
    }),
    measureHealing({
      ...common, entries: REGION_ENTRIES, regions: 1, cut: 'halves',
    }),
    measureHealing({
      ...common, entries: FLEET_ENTRIES, regions: FLEET_REGIONS, cut: 'region',
    }),
  ]);
}

function measureChurns(): void {
  print('Cost of one entry while others crash, then restart, at the same time', [
    ...measureChurn(CURRENT_ENTRIES, 1, 'others'),
    ...measureChurn(REGION_ENTRIES, 8, 'others'),
    ...measureChurn(REGION_ENTRIES, 24, 'others'),
    ...measureChurn(REGION_ENTRIES, 24, 'seed'),
  ]);
}

function measureNaive(): void {
  print('Naive: cost of one entry in a stable group', SIZES.map((entries) => (
    measureCost({
      variant: 'naive', entries, regions: 1, seconds: NAIVE_COST_SECONDS,
    })
  )));
  print('Naive: time to detect crashes, seconds', [8, 32, 128].map((entries) => (
    measureDetection('naive', entries, CRASHES)
  )));
  print('Naive: false suspicions of live entries', SUSPICION_SCENARIOS
    .filter(({ probePeriodMilliseconds }) => probePeriodMilliseconds === PROBE_PERIODS_MILLISECONDS[0])
    .map((scenario) => measureFalseSuspicion('naive', scenario)));
  print('Naive: time until a change is in force everywhere, seconds', [measurePropagation('naive', {
    ...PROPAGATION, entries: REGION_ENTRIES, regions: 1, publishedThrough: 'store',
  })]);
}

const EXPERIMENTS: Readonly<Record<string, () => void>> = {
  cost: measureCosts,
  detection: measureDetections,
  suspicion: measureFalseSuspicions,
  propagation: measurePropagations,
  healing: measureHealings,
  churn: measureChurns,
  naive: measureNaive,
};

const chosen = process.argv.slice(2);
const names = chosen.length > 0 ? chosen : Object.keys(EXPERIMENTS);
names.forEach((name) => EXPERIMENTS[name]?.());
