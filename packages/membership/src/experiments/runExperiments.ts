import measureCost from './measureCost.js';
import measureDetection from './measureDetection.js';
import measureFalseSuspicion from './measureFalseSuspicion.js';
import measurePropagation from './measurePropagation.js';
import type Propagation from './Propagation.js';

const SIZES = [8, 32, 128, 384, 750] as const;
const FLEET_ENTRIES = 750;
const FLEET_REGIONS = 11;
const REGION_ENTRIES = 68;
const TODAY_ENTRIES = 9;
const COST_SECONDS = 60;
const NAIVE_COST_SECONDS = 5;
const CRASHES = 8;
const CHANGES = 20;

const DECIMALS = 3;

/** Rounds the numbers of a result for the table. */
function rounded(result: object): object {
  return Object.fromEntries(Object.entries(result).map(([name, value]) => (
    [name, typeof value === 'number' ? Number(value.toFixed(DECIMALS)) : value]
  )));
}

/* eslint-disable no-console -- the report of a command */
function print(title: string, results: readonly object[]): void {
  console.log(`\n${title}`);
  console.table(results.map(rounded));
}
/* eslint-enable no-console */

const SUSPICION_SCENARIOS = [
  {
    entries: TODAY_ENTRIES, loss: 0.05, pauseMilliseconds: 0, minutes: 10,
  },
  {
    entries: REGION_ENTRIES, loss: 0.05, pauseMilliseconds: 0, minutes: 10,
  },
  {
    entries: TODAY_ENTRIES, loss: 0, pauseMilliseconds: 3_000, minutes: 10,
  },
  {
    entries: REGION_ENTRIES, loss: 0, pauseMilliseconds: 3_000, minutes: 10,
  },
  {
    entries: TODAY_ENTRIES, loss: 0.01, pauseMilliseconds: 6_000, minutes: 10,
  },
  {
    entries: REGION_ENTRIES, loss: 0.01, pauseMilliseconds: 6_000, minutes: 10,
  },
];

const PROPAGATION = { loss: 0.01, changes: CHANGES, regionsWithoutStore: 0 };
const PUBLISHED_THROUGH: readonly Propagation['publishedThrough'][] = ['entry', 'store'];

function measureCosts(): void {
  print('Cost of one entry at rest', [
    ...SIZES.map((entries) => measureCost('membership', entries, 1, COST_SECONDS)),
    measureCost('membership', FLEET_ENTRIES, FLEET_REGIONS, COST_SECONDS),
  ]);
}

function measureDetections(): void {
  const sizes = SIZES.map((entries) => measureDetection('membership', entries, CRASHES));
  print('Detection of crashes, seconds', sizes);
}

function measureFalseSuspicions(): void {
  const runs = SUSPICION_SCENARIOS.map((scenario) => measureFalseSuspicion('membership', scenario));
  print('Accusations of live entries', runs);
}

function measurePropagations(): void {
  const shapes = [
    { entries: TODAY_ENTRIES, regions: 1 },
    { entries: REGION_ENTRIES, regions: 1 },
    { entries: FLEET_ENTRIES, regions: FLEET_REGIONS },
    { entries: FLEET_ENTRIES, regions: FLEET_REGIONS, regionsWithoutStore: 1 },
  ];
  const runs = shapes.flatMap((shape) => PUBLISHED_THROUGH.map((publishedThrough) => (
    measurePropagation('membership', { ...PROPAGATION, ...shape, publishedThrough })
  )));
  print('Time until a change is in force everywhere, seconds', runs);
}

function measureNaive(): void {
  print('Naive: cost of one entry at rest', SIZES.map((entries) => (
    measureCost('naive', entries, 1, NAIVE_COST_SECONDS)
  )));
  print('Naive: detection of crashes, seconds', [8, 32, 128].map((entries) => (
    measureDetection('naive', entries, CRASHES)
  )));
  print('Naive: accusations of live entries', SUSPICION_SCENARIOS.map((scenario) => (
    measureFalseSuspicion('naive', scenario)
  )));
  print('Naive: time until a change is in force everywhere, seconds', [measurePropagation('naive', {
    ...PROPAGATION, entries: REGION_ENTRIES, regions: 1, publishedThrough: 'store',
  })]);
}

const EXPERIMENTS: Readonly<Record<string, () => void>> = {
  cost: measureCosts,
  detection: measureDetections,
  suspicion: measureFalseSuspicions,
  propagation: measurePropagations,
  naive: measureNaive,
};

const chosen = process.argv.slice(2);
const names = chosen.length > 0 ? chosen : Object.keys(EXPERIMENTS);
names.forEach((name) => EXPERIMENTS[name]?.());
