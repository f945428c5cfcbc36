import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import createConfiguration from '../support-2/createConfiguration.js';
import createHeaders from '../support-2/createHeaders.js';
import Entry from '../support-2/Entry.js';
import ModelFleet from '../support-2/ModelFleet.js';
import NAMES from '../support-2/NAMES.js';
import runCase from '../support-2/runCase.js';
import send from '../support-2/send.js';
import sleep from '../support-2/sleep.js';
import Store from '../support-2/Store.js';
import until from '../support-2/until.js';

/** Workers of the model, in groups of two. */
const WORKERS = 10;

/** Part of a prompt that crashes the worker that begins to write an answer on it, and one that does not. */
const CRASHING_PART = 'badbad01';
const SOUND_PART = '90091234';

const PLAY_MILLISECONDS = 40_000;
const PERIOD_MILLISECONDS = 100;

/** One request in this many has the part that crashes. */
const CRASHING_EVERY = 5;

const STABLE_WINDOW_MILLISECONDS = 3_000;
const REQUESTS_ALLOWED = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({
  directory, record, trouble, addEntry,
}) => {
  const store = new Store();
  await store.start();
  const configuration = createConfiguration();
  store.put('op', 'config', configuration);
  const { engine: { models } } = configuration.services[0];
  const fleet = new ModelFleet({ store, service: NAMES.models, models });
  for (let index = 0; index < WORKERS; index += 1) {
    await fleet.add(`i-000000000${index}`);
  }
  const entries = ['edge-1', 'edge-2', 'edge-3'].map((name) => addEntry(new Entry({ name, store, directory })));
  for (const entry of entries) {
    await entry.prepare();
    await entry.start();
  }
  let attempts = 0;
  const stream = (entry, part) => {
    attempts += 1;
    const own = attempts.toString(16).padStart(8, '0');
    const others = {
      'dandelionlane-model': NAMES.model,
      'dandelionlane-token-count': '100,20',
      'dandelionlane-prompt-prefix': `5c1e07a2:60,${part}:20,${own}:20`,
    };
    return send(entry.callers, {
      method: 'POST', path: '/stream/1', body: own, headers: createHeaders({ attempt: own, others }),
    });
  };
  await until('all entries serve', async () => {
    const answers = await Promise.all(entries.map((entry) => stream(entry, SOUND_PART)));
    return answers.every(({ status, ended }) => status === 200 && ended);
  }, 25_000);
  await sleep(5_000);
  record(`${entries.length} entries serve streams, ${WORKERS} workers`);
  const startedAt = performance.now();
  const reached = [];
  fleet.isCrashing = (incoming, { id }) => {
    if (!incoming.headers['dandelionlane-prompt-prefix'].includes(CRASHING_PART)) {
      return false;
    }
    const at = performance.now() - startedAt;
    reached.push(at);
    record(`a request with part ${CRASHING_PART} reaches ${id}${trouble ? ', which crashes' : ''}, ${Math.round(at)} ms`);
    return trouble;
  };
  const sound = [];
  const running = [];
  let sent = 0;
  while (performance.now() - startedAt < PLAY_MILLISECONDS) {
    sent += 1;
    running.push(stream(entries[sent % entries.length], SOUND_PART)
      .then(({ status, ended }) => sound.push(status === 200 && ended)));
    if (sent % CRASHING_EVERY === 0) {
      running.push(stream(entries[(sent / CRASHING_EVERY) % entries.length], CRASHING_PART));
    }
    await sleep(PERIOD_MILLISECONDS);
  }
  await Promise.all(running);
  const fifthAt = trouble ? reached[4] ?? Infinity : Infinity;
  const late = reached.filter((at) => at > fifthAt + STABLE_WINDOW_MILLISECONDS).length;
  record(`requests with the part: ${Math.floor(sent / CRASHING_EVERY)} sent, ${reached.length} reached workers; `
    + `${late} of them later than ${STABLE_WINDOW_MILLISECONDS} ms after the fifth crash`);
  record(`sound requests: ${sound.filter((isWhole) => isWhole).length} of ${sound.length} answered whole`);
  store.stop();
  fleet.stop();
  return late > REQUESTS_ALLOWED;
});
