import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import createConfiguration from '../support-2/createConfiguration.js';
import createHeaders from '../support-2/createHeaders.js';
import Entry from '../support-2/Entry.js';
import NAMES from '../support-2/NAMES.js';
import PlainWorker from '../support-2/PlainWorker.js';
import runCase from '../support-2/runCase.js';
import send from '../support-2/send.js';
import sleep from '../support-2/sleep.js';
import Store from '../support-2/Store.js';
import until from '../support-2/until.js';

const WORK_MILLISECONDS = 400;
const PLAY_MILLISECONDS = 14_000;
const READ_PERIOD_MILLISECONDS = 50;
const LOOKUP_PAUSE_MILLISECONDS = 100;

/** Every so many requests that a worker runs end with its own 500: `error_share` of the site is 0.14. */
const FAILURE_PERIOD = 8;

/** Requests at the worker in trouble at one time. */
const LOOKUPS_AT_ONCE = 12;

/** What the worker in trouble sends on each channel: 8 MB a second, on all less than its link takes. */
const PIECE = Buffer.alloc(64 * 1_024, 'x');
const PIECE_PERIOD_MILLISECONDS = 8;

/** Requests that a sound worker got and whose kept channel closed without an answer: more break the rule. */
const LOST_ALLOWED = 3;

/** Writes bytes until the caller closes the channel. */
function writeWithoutEnd(outgoing) {
  const timer = setInterval(() => {
    if (!outgoing.writableNeedDrain) {
      outgoing.write(PIECE);
    }
  }, PIECE_PERIOD_MILLISECONDS);
  outgoing.once('close', () => clearInterval(timer));
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({
  directory, record, trouble, addEntry,
}) => {
  const store = new Store();
  await store.start();
  const configuration = createConfiguration();
  const [, readRoute] = configuration.routes;
  const [, plainService] = configuration.services;
  configuration.routes.push({
    ...readRoute, name: 'r-lookup', prefix: '/lookup/', service: 'lookups', timeout_ms: 1_500,
  });
  configuration.services.push({ ...plainService, name: 'lookups' });
  store.put('op', 'config', configuration);
  const runs = new Map();
  // Sound workers: some of their runs fail, as the site file has it.
  const sound = ['i-0000000001', 'i-0000000002'].map((id) => {
    let begun = 0;
    return new PlainWorker({
      store,
      id,
      service: NAMES.plain,
      slots: 20,
      answer: async (incoming, outgoing) => {
        begun += 1;
        const fails = begun % FAILURE_PERIOD === 0;
        const attempt = incoming.headers['dandelionlane-attempt-id'];
        const seal = { 'content-length': 2, 'dandelionlane-server-seal': `seal.${attempt}` };
        if (fails) {
          outgoing.writeHead(500, seal).end('no');
          return;
        }
        runs.set(attempt, `${id}, running`);
        outgoing.once('close', () => {
          runs.set(attempt, `${id}, ${outgoing.writableFinished ? 'answered' : 'left before its answer'}`);
        });
        await sleep(WORK_MILLISECONDS);
        outgoing.writeHead(200, seal).end('ok');
      },
    });
  });
  let isInTrouble = false;
  const troubled = new PlainWorker({
    store,
    id: 'i-0000000003',
    service: 'lookups',
    slots: 60,
    answer: (incoming, outgoing) => {
      const seal = `seal.${incoming.headers['dandelionlane-attempt-id']}`;
      if (isInTrouble) {
        outgoing.writeHead(200, { 'dandelionlane-server-seal': seal });
        writeWithoutEnd(outgoing);
      } else {
        outgoing.writeHead(200, { 'content-length': 2, 'dandelionlane-server-seal': seal }).end('ok');
      }
    },
  });
  for (const worker of [...sound, troubled]) {
    await worker.start();
  }
  const entry = addEntry(new Entry({ name: 'edge-1', store, directory }));
  await entry.prepare();
  await entry.start();
  const agent = new Agent({ keepAlive: true });
  let attempts = 0;
  const request = async (path) => {
    attempts += 1;
    const attempt = `a${attempts}`;
    const headers = createHeaders({ attempt, deadlineMilliseconds: 1_500 });
    const { status, error } = await send(entry.callers, {
      path, headers, agent,
    });
    return { attempt, end: status ?? error };
  };
  await until('the entry serves', async () => {
    const [read, lookup] = await Promise.all([request('/read/1'), request('/lookup/1')]);
    return read.end === 200 && lookup.end === 200;
  }, 20_000);
  record('the entry serves; the two workers for reads fail some runs with a 500 of their own');
  isInTrouble = trouble;
  if (trouble) {
    record('the worker of another service is in trouble: its answers have no end');
  }
  const startedAt = performance.now();
  const lookupEnds = new Map();
  const lookups = Array.from({ length: LOOKUPS_AT_ONCE }, async () => {
    while (performance.now() - startedAt < PLAY_MILLISECONDS) {
      const { end } = await request('/lookup/1');
      lookupEnds.set(end, (lookupEnds.get(end) ?? 0) + 1);
      await sleep(LOOKUP_PAUSE_MILLISECONDS);
    }
  });
  const reads = [];
  while (performance.now() - startedAt < PLAY_MILLISECONDS) {
    reads.push(request('/read/1'));
    await sleep(READ_PERIOD_MILLISECONDS);
  }
  const ended = await Promise.all(reads);
  await Promise.all(lookups);
  const ends = new Map();
  ended.forEach(({ end }) => ends.set(end, (ends.get(end) ?? 0) + 1));
  const lost = ended.filter(({ attempt, end }) => end === 'ECONNRESET' && runs.has(attempt));
  record(`lookups ended ${JSON.stringify([...lookupEnds])}`);
  record(`reads ended ${JSON.stringify([...ends])}`);
  lost.forEach(({ attempt, end }) => record(`read ${attempt} was passed on to ${runs.get(attempt)}; `
    + `its channel was closed without an answer: ${end}`));
  record(`${lost.length} of ${ended.length} reads lost; process ${entry.running ? 'runs' : 'has ended'}`);
  store.stop();
  [...sound, troubled].forEach((worker) => worker.stop());
  return lost.length > LOST_ALLOWED;
});
