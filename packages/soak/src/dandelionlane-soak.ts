import { mkdir, writeFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import sade from 'sade';
import DEFAULT_GRACE_SECONDS from './lib/DEFAULT_GRACE_SECONDS.js';
import type SoakReport from './lib/SoakReport.js';
import type SoakCourse from './lib/faults/SoakCourse.js';
import runSoak from './lib/runSoak.js';

const VERSION = '0.1.0';
const VIOLATED_EXIT_CODE = 1;

const COURSES: readonly SoakCourse[] = [
  'all', 'unplanned', 'planned', 'stops', 'silences', 'paths', 'crashes', 'endings', 'vanishings',
];

interface Options {
  readonly seed: string | number;
  readonly runs: string | number;
  readonly seconds: string | number;
  readonly entries: string | number;
  readonly rate: string | number;
  readonly restorations: string | number;
  readonly course: string;
  readonly grace: string | number;
  readonly build?: string;
  readonly out: string;
}

function render({
  seed, requests, served, runs, faults, pathCuts, violations,
}: SoakReport): string {
  return [
    `seed ${seed}: ${requests} requests, ${served} served, ${runs} runs, ${faults.length} faults, `
      + `${violations.length} violations`,
    ...pathCuts.map(({
      entries, state, here, elsewhere,
    }) => (
      `  ${entries.length} without paths (${state}) served ${here.served}/${here.requests}, `
        + `the others ${elsewhere.served}/${elsewhere.requests}`
    )),
    ...violations.map(({ promise, detail }) => `  ${promise}: ${detail}`),
    '',
  ].join('\n');
}

async function run(options: Options): Promise<void> {
  const first = Number(options.seed);
  const course = COURSES.find((each) => each === options.course);
  if (course === undefined) {
    throw new Error(`--course is one of ${COURSES.join(', ')}`);
  }
  for (let seed = first; seed < first + Number(options.runs); seed += 1) {
    const directory = join(options.out, `seed-${seed}`);
    await mkdir(directory, { recursive: true });
    const report = await runSoak({
      seed,
      seconds: Number(options.seconds),
      entries: Number(options.entries),
      rate: Number(options.rate),
      restorations: Number(options.restorations),
      course,
      grace: Number(options.grace),
      build: options.build === undefined ? null : resolve(options.build),
      directory,
    });
    await writeFile(join(directory, 'report.json'), JSON.stringify(report, null, 2));
    process.stdout.write(render(report));
    if (report.violations.length > 0) {
      process.exitCode = VIOLATED_EXIT_CODE;
    }
  }
}

// Entry processes end with this one.
const INTERRUPTED_EXIT_CODE = 130;
['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => {
  // eslint-disable-next-line n/no-process-exit -- ends the run at once
  process.exit(INTERRUPTED_EXIT_CODE);
}));

sade('dandelionlane-soak', true)
  .version(VERSION)
  .describe('Runs entry processes under faults drawn from seeds and checks the promises.')
  .option('--seed', 'First seed', 1)
  .option('--runs', 'Seeds, one after the other', 1)
  .option('--seconds', 'Time in which faults begin', 15)
  .option('--entries', 'Entry processes', 4)
  .option('--rate', 'Requests a second', 40)
  .option('--restorations', 'Returns of the store from a copy', 1)
  .option('--course', `Faults: ${COURSES.join(', ')}`, 'all')
  .option('--grace', 'Time for which an entry may go on after SIGTERM, in s', DEFAULT_GRACE_SECONDS)
  .option('--build', 'Root of another built checkout that entries run from')
  .option('--out', 'Directory for settings, logs and reports', 'target/soak')
  .action(run)
  .parse(process.argv);
