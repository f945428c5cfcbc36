import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@dandelionlane/core';
import type SoakOptions from './SoakOptions.js';
import type SoakReport from './SoakReport.js';
import type SoakTopology from './SoakTopology.js';
import SoakCaller from './callers/SoakCaller.js';
import StayingCaller from './callers/StayingCaller.js';
import createCourseCallers from './callers/createCourseCallers.js';
import createTopology from './createTopology.js';
import FaultInjector from './faults/FaultInjector.js';
import planCourse from './faults/planCourse.js';
import type RequestKind from './journal/RequestKind.js';
import findViolations from './journal/findViolations.js';
import measurePathCuts from './journal/measurePathCuts.js';
import isServed from './journal/isServed.js';

const GROUP_SIZE = 2;

/** Added to a seed for the callers that stay, one more for each of them. */
const STAYING_SEED = 100;

/** Time in which every kind of request has to be served at the start and after the last fault, in ms. */
const SERVED_MILLISECONDS = 30_000;

const KINDS: readonly RequestKind[] = ['safe', 'once', 'stream'];

const POLL_MILLISECONDS = 100;

/** Waits until requests of all kinds are served. Returns the kinds that were not. */
async function waitUntilServed(
  caller: SoakCaller,
  { journal }: SoakTopology,
): Promise<readonly RequestKind[]> {
  const from = performance.now();
  let missing = KINDS;
  while (missing.length > 0 && performance.now() - from < SERVED_MILLISECONDS) {
    await Promise.all(missing.map((kind) => caller.send(kind)));
    const served = [...journal.requests.values()]
      .filter((request) => request.sentAt >= from && isServed(request));
    missing = KINDS.filter((kind) => !served.some((request) => request.kind === kind));
    await sleep(POLL_MILLISECONDS);
  }
  return missing;
}

async function close({ store, entries, workers }: SoakTopology): Promise<void> {
  await Promise.all(entries.map((entry) => entry.close()));
  await Promise.all(workers.map((worker) => worker.close()));
  store.close();
}

/** Runs entry processes under faults that the seed draws, and checks the promises meanwhile. */
export default async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const topology = await createTopology(options, GROUP_SIZE);
  const { journal, entries, workers } = topology;
  const faults = planCourse(options, {
    entries: entries.length,
    workers: workers.length,
    plainWorkers: topology.plainWorkers,
    faultyWorkers: topology.faultyWorkers,
  });
  const caller = new SoakCaller(journal, entries, new SeededRandom(options.seed + 2));
  const unserved = await waitUntilServed(caller, topology);
  if (unserved.length > 0) {
    journal.violated('start', `not served after the start: ${unserved.join(', ')}`);
  }
  let over = false;
  const calling = Promise.all([
    caller.run(options.rate, () => over),
    ...entries.map((entry, index) => (
      new StayingCaller(journal, entry, new SeededRandom(options.seed + STAYING_SEED + index)).run(() => over)
    )),
    ...createCourseCallers(options.course ?? 'all', journal, entries, options.seed)
      .map((each) => each.run(() => over)),
  ]);
  await new FaultInjector(topology, GROUP_SIZE).run(faults);
  over = true;
  await calling;
  const missing = await waitUntilServed(caller, topology);
  if (missing.length > 0) {
    journal.violated('recover', `not served after the last fault: ${missing.join(', ')}`);
  }
  await caller.close();
  await close(topology);
  const requests = [...journal.requests.values()];
  return {
    seed: options.seed,
    requests: requests.length,
    served: requests.filter(isServed).length,
    runs: journal.runs.length,
    faults,
    pathCuts: measurePathCuts(journal),
    violations: findViolations(journal),
  };
}
