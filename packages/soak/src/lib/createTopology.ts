import { SeededRandom, SystemRandom } from '@dandelionlane/core';
import DEFAULT_GRACE_SECONDS from './DEFAULT_GRACE_SECONDS.js';
import type SoakOptions from './SoakOptions.js';
import type SoakTopology from './SoakTopology.js';
import createConfiguration from './createConfiguration.js';
import SoakEntry from './entries/SoakEntry.js';
import type SoakCourse from './faults/SoakCourse.js';
import findPorts from './entries/findPorts.js';
import SoakJournal from './journal/SoakJournal.js';
import SoakTables from './store/SoakTables.js';
import StoreServer from './store/StoreServer.js';
import writeConfiguration from './store/writeConfiguration.js';
import SoakGroups from './workers/SoakGroups.js';
import SoakWorker from './workers/SoakWorker.js';
import type SoakWorkerSettings from './workers/SoakWorkerSettings.js';

const ZONES = ['zone-a', 'zone-b'];
const PLAIN_WORKERS = 4;
const MODEL_WORKERS = 7;
const SPARE_WORKERS = 2;
const SLOTS = 8;

/** Answers without a length, in courses that have some. */
const UNFRAMED_ANSWERS = new Map<SoakCourse, Pick<SoakWorkerSettings, 'unframedShare' | 'halfMilliseconds'>>([
  ['endings', { unframedShare: 0.5, halfMilliseconds: 20 }],
  ['vanishings', { unframedShare: 0.7, halfMilliseconds: 200 }],
]);

const MILLISECONDS = 1_000;

/** Starts the store, the workers and the entries of a soak. */
export default async function createTopology(
  {
    seed, entries: count, directory, grace = DEFAULT_GRACE_SECONDS, build = null, course = 'all',
  }: SoakOptions,
  groupSize: number,
): Promise<SoakTopology> {
  const journal = new SoakJournal();
  const tables = new SoakTables();
  const store = new StoreServer(tables);
  const storeAddress = await store.listen();
  const groups = new SoakGroups(journal, groupSize);
  const random = new SeededRandom(seed + 1);
  const worker = (service: string, index: number) => new SoakWorker({
    id: `i-${service}-${index}`,
    service,
    zone: ZONES[index % ZONES.length] ?? 'zone-a',
    groups: service === 'model' ? groups : null,
    slots: SLOTS,
    ...(UNFRAMED_ANSWERS.get(course) ?? { unframedShare: 0, halfMilliseconds: 0 }),
    tables,
    journal,
    random,
  });
  const workers = [
    ...Array.from({ length: PLAIN_WORKERS }, (_, index) => worker('plain', index)),
    ...Array.from({ length: MODEL_WORKERS }, (_, index) => worker('model', index)),
    ...Array.from({ length: SPARE_WORKERS }, (_, index) => worker('spare', index)),
  ];
  await Promise.all(workers.map((each) => each.start()));
  await writeConfiguration(tables, createConfiguration(1, groupSize));
  const entries: SoakEntry[] = [];
  for (let index = 0; index < count; index += 1) {
    // One after the other, so that no port is found twice.
    entries.push(await SoakEntry.create({
      name: `entry-${index}`,
      zone: ZONES[index % ZONES.length] ?? 'zone-a',
      sourceAddress: `127.0.1.${index + 1}`,
      ports: await findPorts(new SystemRandom()),
      storeAddress,
      graceMilliseconds: grace * MILLISECONDS,
      build,
      directory,
      journal,
    }));
  }
  await Promise.all(entries.map((entry) => entry.start()));
  return {
    journal,
    tables,
    store,
    entries,
    workers,
    plainWorkers: PLAIN_WORKERS,
    faultyWorkers: PLAIN_WORKERS + MODEL_WORKERS,
  };
}
