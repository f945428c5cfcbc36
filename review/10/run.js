import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import answerShortly from '../support-2/answerShortly.js';
import createConfiguration from '../support-2/createConfiguration.js';
import createHeaders from '../support-2/createHeaders.js';
import Entry from '../support-2/Entry.js';
import Gate from '../support-2/Gate.js';
import ModelFleet from '../support-2/ModelFleet.js';
import NAMES from '../support-2/NAMES.js';
import PlainWorker from '../support-2/PlainWorker.js';
import runCase from '../support-2/runCase.js';
import send from '../support-2/send.js';
import sleep from '../support-2/sleep.js';
import Store from '../support-2/Store.js';
import until from '../support-2/until.js';

/** Replicas of each service: workers of the plain one, groups of two workers of the one with models. */
const REPLICAS = Number(process.env.REPLICAS ?? 1);

const CUT_MILLISECONDS = 12_000;
const STABLE_WINDOW_MILLISECONDS = 3_000;
const PAUSE_MILLISECONDS = 200;

/** Of the first tries, more may fail than this, and one in fifty of all. */
const FAILURES_ALLOWED = 10;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({
  directory, record, trouble, addEntry,
}) => {
  const store = new Store();
  await store.start();
  const configuration = createConfiguration();
  store.put('op', 'config', configuration);
  const entries = ['edge-1', 'edge-2', 'edge-3'].map((name) => addEntry(new Entry({ name, store, directory })));
  const [cutOff] = entries;
  const gates = [];
  const createProxy = async (target) => {
    const gate = new Gate({ target, findProcessId: () => cutOff.child?.pid });
    gates.push(gate);
    await gate.start();
    return gate.address;
  };
  const { engine: { models } } = configuration.services[0];
  const fleet = new ModelFleet({ store, service: NAMES.models, models });
  const workers = [];
  for (let index = 0; index < REPLICAS; index += 1) {
    const worker = new PlainWorker({
      store, id: `i-000000000${index}`, service: NAMES.plain, answer: answerShortly,
    });
    workers.push(worker);
    await worker.start(createProxy);
    await fleet.add(`i-000000010${index}`, createProxy);
    await fleet.add(`i-000000020${index}`, createProxy);
  }
  for (const entry of entries) {
    await entry.prepare();
    await entry.start();
  }
  let attempts = 0;
  const read = (entry) => {
    attempts += 1;
    return send(entry.callers, { path: '/read/1', headers: createHeaders({ attempt: `r${attempts}` }) });
  };
  const stream = (entry) => {
    attempts += 1;
    const others = {
      'dandelionlane-model': NAMES.model,
      'dandelionlane-token-count': '100,20',
      'dandelionlane-prompt-prefix': `5c1e07a2:60,${attempts.toString(16)}:40`,
    };
    return send(entry.callers, {
      method: 'POST', path: '/stream/1', body: 'x', headers: createHeaders({ attempt: `s${attempts}`, others }),
    });
  };
  const doAllServe = async () => {
    const answers = await Promise.all(entries.flatMap((entry) => [read(entry), stream(entry)]));
    return answers.every(({ status }) => status === 200);
  };
  await until('all entries serve', doAllServe, 20_000);
  // The links between the entries are up by then.
  await sleep(4_000);
  await until('all entries serve', doAllServe, 5_000);
  record(`${entries.length} entries serve; replicas of each service: ${REPLICAS}`);
  const cutAt = performance.now();
  if (trouble) {
    gates.forEach((gate) => gate.cut(cutOff.child.pid));
    record(`${cutOff.name} is cut off from all workers; the store, clients and the other entries reach it`);
  }
  const tries = [];
  const sendOne = async (entry, kind, request) => {
    const sentAt = performance.now();
    const { status, ended, error } = await request(entry);
    const counts = sentAt - cutAt >= STABLE_WINDOW_MILLISECONDS;
    const end = status === 200 && !ended ? 'cut' : status ?? error;
    tries.push({
      entry: entry.name, kind, counts, end,
    });
  };
  const sending = [];
  while (performance.now() - cutAt < CUT_MILLISECONDS) {
    sending.push(...entries.flatMap((entry) => [sendOne(entry, 'read', read), sendOne(entry, 'stream', stream)]));
    await sleep(PAUSE_MILLISECONDS);
  }
  await Promise.all(sending);
  gates.forEach((gate) => gate.cut(null));
  const counted = tries.filter(({ counts }) => counts);
  const summarize = (name, isOwn) => {
    const own = counted.filter(({ entry }) => (entry === cutOff.name) === isOwn);
    const served = own.filter(({ end }) => end === 200).length;
    const ends = new Map();
    own.forEach(({ kind, end }) => ends.set(`${kind} ${end}`, (ends.get(`${kind} ${end}`) ?? 0) + 1));
    record(`first tries later than ${STABLE_WINDOW_MILLISECONDS} ms after the cut at ${name}: `
      + `${served} of ${own.length} served ${JSON.stringify([...ends])}`);
    return { share: served / own.length, failed: own.length - served };
  };
  const own = summarize(cutOff.name, true);
  const others = summarize('the others', false);
  record(`channels reset: ${gates.reduce((sum, { resets }) => sum + resets, 0)}; processes run: ${entries.every(({ running }) => running)}`);
  await sleep(2_000);
  record(`2 s after the cut: ${await doAllServe() ? 'all entries serve' : 'not all entries serve'}`);
  store.stop();
  workers.forEach((worker) => worker.stop());
  fleet.stop();
  gates.forEach((gate) => gate.stop());
  return own.share < (2 / 3) * others.share && own.failed > FAILURES_ALLOWED + counted.length / 50;
});
