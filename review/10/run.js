import { randomBytes } from 'node:crypto';
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import answerShortly from '../support-2/answerShortly.js';
import createConfiguration from '../support-2/createConfiguration.js';
import createHeaders from '../support-2/createHeaders.js';
import Entry from '../support-2/Entry.js';
import ModelFleet from '../support-2/ModelFleet.js';
import NAMES from '../support-2/NAMES.js';
import PlainWorker from '../support-2/PlainWorker.js';
import runCase from '../support-2/runCase.js';
import send from '../support-2/send.js';
import sleep from '../support-2/sleep.js';
import Store from '../support-2/Store.js';
import until from '../support-2/until.js';

const MEMORY_MEGABYTES = 350;

/** Length of a model's name. With the other headers it is less than `max_header_bytes`. */
const NAME_BYTES = 15_000;

const CLIENTS = 400;

const SECONDS = 60;

function createName() {
  return randomBytes(NAME_BYTES / 2).toString('hex');
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({
  directory, record, trouble, addEntry,
}) => {
  const store = new Store();
  await store.start();
  const configuration = createConfiguration();
  store.put('op', 'config', configuration);
  const { engine: { models } } = configuration.services[0];
  const fleet = new ModelFleet({ store, service: NAMES.models, models });
  await fleet.add('i-0000000001');
  await fleet.add('i-0000000002');
  const worker = new PlainWorker({
    store, id: 'i-0000000009', service: NAMES.plain, answer: answerShortly,
  });
  await worker.start();
  const entries = ['edge-1', 'edge-2'].map((name) => addEntry(new Entry({
    name, store, directory, memoryMegabytes: MEMORY_MEGABYTES,
  })));
  for (const entry of entries) {
    await entry.prepare();
    await entry.start();
  }
  let attempts = 0;
  const createAttempt = () => {
    attempts += 1;
    return `a${attempts}`;
  };
  const stream = (entry, model, agent) => send(entry.callers, {
    method: 'POST',
    path: '/stream/1',
    agent,
    body: 'x',
    headers: createHeaders({
      attempt: createAttempt(),
      others: {
        'dandelionlane-model': model,
        'dandelionlane-token-count': '100,20',
        'dandelionlane-prompt-prefix': '5c1e07a2:60,91bd3f06:40',
      },
    }),
  });
  const read = (entry) => send(entry.callers, {
    path: '/read/1', headers: createHeaders({ attempt: createAttempt() }),
  });
  await until('both entries serve', async () => {
    const requests = entries.flatMap((entry) => [stream(entry, NAMES.model), read(entry)]);
    return (await Promise.all(requests)).every(({ status }) => status === 200);
  }, 20_000);
  record('both entries serve streams and reads');
  const [entry] = entries;
  const agent = new Agent({ keepAlive: true, maxSockets: CLIENTS });
  const sameName = createName();
  const ends = new Map();
  let sent = 0;
  const endsAt = performance.now() + SECONDS * 1_000;
  const sendAll = async () => {
    while (performance.now() < endsAt && entry.running) {
      sent += 1;
      const { status, error } = await stream(entry, trouble ? createName() : sameName, agent);
      ends.set(status ?? error, (ends.get(status ?? error) ?? 0) + 1);
    }
  };
  const sampling = setInterval(() => entry.readMegabytes(), 200);
  const reporting = setInterval(async () => {
    const megabytes = await Promise.all(entries.map((each) => each.readMegabytes()));
    record(`sent ${sent}, ended ${JSON.stringify([...ends])}; resident ${megabytes.join(' and ')} MB`);
  }, 3_000);
  await Promise.all(Array.from({ length: CLIENTS }, sendAll));
  clearInterval(reporting);
  clearInterval(sampling);
  await sleep(1_000);
  const answers = await Promise.all(entries.map(read));
  entries.forEach((each, index) => {
    const { status, error } = answers[index];
    record(`${each.name}: ordinary request ${status ?? error}; process ${each.running ? 'runs' : 'has ended'} ${JSON.stringify(each.ends)}`);
  });
  record(`${sent} requests sent; edge-1 took ${entry.peakMegabytes} MB at most, its machine has ${MEMORY_MEGABYTES} MB`);
  store.stop();
  fleet.stop();
  worker.stop();
  return entries.some(({ running }) => !running) || entry.peakMegabytes > MEMORY_MEGABYTES;
});
