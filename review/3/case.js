import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import Deployment from '../support/Deployment.js';
import Recording from '../support/Recording.js';
import getJSON from '../support/getJSON.js';

const ENTRIES = 4;

/** Calm before each step, in ms. */
const CALM_MILLISECONDS = 6_000;

/** Time for which the holder of the lease is partitioned from the store, in ms, as in the site file. */
const CUT_MILLISECONDS = 5_500;

/** `stable_window_ms` + 3 s: from then on no directory may name a machine that is gone. */
const LISTED_MILLISECONDS = 6_000;

/** Answers that may name such a machine. */
const ALLOWED_ANSWERS = 3;

const ASKING_MILLISECONDS = 12_000;
const PERIOD_MILLISECONDS = 250;
const HOLDER_TIMEOUT_MILLISECONDS = 10_000;
const LINKS_TIMEOUT_MILLISECONDS = 25_000;

const isDisturbed = process.env.TROUBLE !== '0';
const recording = new Recording(fileURLToPath(new URL('record.txt', import.meta.url)));

async function waitForHolder(deployment, except) {
  const until = performance.now() + HOLDER_TIMEOUT_MILLISECONDS;
  while (performance.now() < until) {
    const holder = await deployment.findHolder();
    if (holder !== null && holder !== except) {
      recording.add(`the store names ${holder} as the holder of the lease`);
      return holder;
    }
    await sleep(PERIOD_MILLISECONDS);
  }
  throw new Error('no holder in time');
}

/** Waits until the row of the holder lists all entries, as it does after some seconds of calm. */
async function waitForLinks(deployment, holder) {
  const until = performance.now() + LINKS_TIMEOUT_MILLISECONDS;
  while (performance.now() < until) {
    const { rows } = (await deployment.tables.snapshot('entries'))._unsafeUnwrap();
    if (rows.find(({ key }) => key === holder)?.value?.linked.length === ENTRIES) {
      return;
    }
    await sleep(PERIOD_MILLISECONDS);
  }
  throw new Error('the entries are not linked in time');
}

/** Partitions the holder of the lease from the store, so that another one takes over. Returns its name. */
async function cutHolder(deployment) {
  const holder = await waitForHolder(deployment, null);
  await waitForLinks(deployment, holder);
  const link = deployment.storeLinks[deployment.entries.findIndex(({ name }) => name === holder)];
  recording.add(`${holder} is partitioned from the store for ${CUT_MILLISECONDS} ms`);
  link.setState('reset');
  await sleep(CUT_MILLISECONDS);
  link.setState('open');
  recording.add(`${holder} reaches the store again`);
  await waitForHolder(deployment, holder);
  return holder;
}

async function resolveAddresses({ directoryAddress }) {
  const query = new URLSearchParams({ name: 'review.example', region: 'region-1', zone: 'zone-a' });
  const answer = await getJSON(`http://${directoryAddress}/dandelionlane/resolve?${query}`);
  return answer?.status === 200 ? answer.body.addresses : [];
}

/** Asks the directories of running entries, and counts the answers that name an entry that is gone. */
async function countAnswersNaming(gone, running) {
  const until = performance.now() + ASKING_MILLISECONDS;
  let count = 0;
  while (performance.now() < until) {
    for (const entry of running) {
      const addresses = await resolveAddresses(entry);
      if (addresses.includes(gone.address) && addresses.some((address) => address !== gone.address)) {
        count += 1;
        recording.add(`the directory of ${entry.name} names ${addresses.length} addresses, among them that of ${gone.name}`);
      }
    }
    await sleep(PERIOD_MILLISECONDS);
  }
  return count;
}

async function run() {
  const deployment = await Deployment.start({
    entryCount: ENTRIES,
    workers: [{
      id: 'i-0', service: 'plain', hasGroups: false, serve: (call, incoming, outgoing) => outgoing.end(),
    }],
  });
  try {
    await sleep(CALM_MILLISECONDS);
    const formerHolder = isDisturbed ? await cutHolder(deployment) : null;
    await sleep(CALM_MILLISECONDS);
    const holder = await waitForHolder(deployment, null);
    const gone = deployment.entries.find(({ name }) => name !== holder && name !== formerHolder);
    recording.add(`${gone.name} at ${gone.address} is killed for good`);
    await gone.end();
    await sleep(LISTED_MILLISECONDS);
    recording.add(`${LISTED_MILLISECONDS} ms later`);
    const count = await countAnswersNaming(gone, deployment.entries.filter((entry) => entry !== gone));
    const isBroken = count > ALLOWED_ANSWERS;
    recording.add(isBroken
      ? `DRAIN is broken: ${count} answers of the directory named ${gone.name}`
      : `the rule held: ${count} answers of the directory named ${gone.name}`);
    return isBroken ? 1 : 0;
  } finally {
    await deployment.close();
  }
}

process.exitCode = await run().catch((error) => {
  recording.add(`the case could not run: ${error.stack}`);
  return 2;
});
await recording.save();
