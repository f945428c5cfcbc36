import { request } from 'node:http';
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

/** Callers that keep a stream open at the entry: a head takes 18 at once and queues a few. */
const STREAM_CALLERS = 20;

/** Gap after which a requester abandons a stream, in ms. */
const GAP_MILLISECONDS = 2_000;

/** What the worker in trouble sends on each stream, without end: 128 kB a second. */
const PIECE = 'a\n'.repeat(640);
const PIECE_PERIOD_MILLISECONDS = 10;

/** Groups of the model, of two workers each. */
const GROUPS = Number(process.env.REPLICAS ?? 1);

const ROUTE_TIMEOUT_MILLISECONDS = 1_500;
const HALF_A_SECOND = 500;
const TROUBLE_SECONDS = 30;
const READ_PERIOD_MILLISECONDS = 250;

/** Fewer unanswered requests than this prove nothing. */
const MINIMUM_UNANSWERED = 8;

/** Streams one request, as a requester that abandons it after a gap. Resolves to how it ended. */
function stream(entry, attempt) {
  const [host, port] = entry.callers.split(':');
  const headers = createHeaders({
    attempt,
    others: {
      'dandelionlane-model': NAMES.model,
      'dandelionlane-token-count': '100,20',
      'dandelionlane-prompt-prefix': `5c1e07a2:60,${attempt}:40`,
    },
  });
  return new Promise((done) => {
    const outgoing = request({
      host, port, method: 'POST', path: '/stream/1', headers, agent: false,
    });
    outgoing.setTimeout(GAP_MILLISECONDS, () => {
      outgoing.destroy();
      done('abandoned');
    });
    outgoing.on('error', (error) => done(error.code ?? error.message));
    outgoing.on('response', (incoming) => {
      incoming.on('error', () => done('cut'));
      incoming.on('end', () => done(incoming.statusCode));
      incoming.resume();
    });
    outgoing.end('x');
  });
}

/** Reads once, and waits longer for the answer than the route's timeout. */
async function readOnce(entry, attempt) {
  const sentAt = performance.now();
  const { status, error } = await send(entry.callers, {
    path: '/read/1', timeout: 10_000, headers: createHeaders({ attempt }),
  });
  return { end: status ?? error, milliseconds: status === null ? Infinity : performance.now() - sentAt };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({
  directory, record, trouble, addEntry,
}) => {
  const store = new Store();
  await store.start();
  const configuration = createConfiguration({ readTimeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS });
  if (process.env.RESUME === '0') {
    // A variant: streams that may run once.
    configuration.routes[0].stream_resume = false;
  }
  store.put('op', 'config', configuration);
  const { engine: { models } } = configuration.services[0];
  const fleet = new ModelFleet({ store, service: NAMES.models, models });
  for (let index = 0; index < 2 * GROUPS; index += 1) {
    await fleet.add(`i-000000000${index}`);
  }
  const worker = new PlainWorker({
    store, id: 'i-0000000100', service: NAMES.plain, answer: answerShortly,
  });
  await worker.start();
  const entries = ['edge-1', 'edge-2'].map((name) => addEntry(new Entry({ name, store, directory })));
  for (const entry of entries) {
    await entry.prepare();
    await entry.start();
  }
  let attempts = 0;
  const createAttempt = () => {
    attempts += 1;
    return attempts.toString(16).padStart(8, '0');
  };
  await until('both entries serve', async () => {
    const reads = await Promise.all(entries.map((entry) => readOnce(entry, createAttempt())));
    const streams = await Promise.all(entries.map((entry) => stream(entry, createAttempt())));
    return reads.every(({ end }) => end === 200) && streams.every((end) => end === 200);
  }, 25_000);
  await sleep(3_000);
  record('both entries serve reads and streams');
  const [entry] = entries;
  const open = new Set();
  if (trouble) {
    fleet.answerInTrouble = (outgoing, attempt) => {
      outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'dandelionlane-server-seal': `seal.${attempt}` });
      outgoing.write(`id: 1\ndata: ${attempt}/1\n\n`);
      const timer = setInterval(() => {
        if (!outgoing.writableNeedDrain) {
          outgoing.write(PIECE);
        }
      }, PIECE_PERIOD_MILLISECONDS);
      open.add(timer);
      outgoing.once('close', () => clearInterval(timer));
    };
    record('a head of the model is in trouble: after the first event of a stream it sends lines without end');
  }
  const endsAt = performance.now() + TROUBLE_SECONDS * 1_000;
  const streamEnds = new Map();
  const streaming = Array.from({ length: STREAM_CALLERS }, async () => {
    while (performance.now() < endsAt) {
      const end = await stream(entry, createAttempt());
      streamEnds.set(end, (streamEnds.get(end) ?? 0) + 1);
    }
  });
  const reading = [];
  const asking = [];
  while (performance.now() < endsAt) {
    reading.push(readOnce(entry, createAttempt()));
    if (reading.length % 4 === 0) {
      asking.push(send(entry.readiness, { path: '/dandelionlane/readyz', timeout: 1_000 }));
    }
    await sleep(READ_PERIOD_MILLISECONDS);
  }
  const reads = await Promise.all(reading);
  const ready = (await Promise.all(asking)).filter(({ status }) => status === 200).length;
  open.forEach((timer) => clearInterval(timer));
  await Promise.all(streaming);
  const unanswered = reads.filter(({ milliseconds }) => milliseconds > ROUTE_TIMEOUT_MILLISECONDS).length;
  const late = reads
    .filter(({ milliseconds }) => milliseconds > ROUTE_TIMEOUT_MILLISECONDS + HALF_A_SECOND).length;
  record(`streams of ${STREAM_CALLERS} callers ended ${JSON.stringify([...streamEnds])}`);
  record(`reads at a sound worker: ${reads.length}; without an answer at ${ROUTE_TIMEOUT_MILLISECONDS} ms: ${unanswered}; `
    + `half a second later: ${late}; never within 10 s: ${reads.filter(({ milliseconds }) => milliseconds === Infinity).length}`);
  record(`questions for readiness answered with 200 within 1 s: ${ready} of ${asking.length}; process ${entry.running ? 'runs' : 'has ended'}`);
  store.stop();
  fleet.stop();
  worker.stop();
  return unanswered >= MINIMUM_UNANSWERED && late > unanswered / 2;
});
