import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { encodeAnswerHeaders } from '@dandelionlane/platform-adapter';
import Deployment from '../support/Deployment.js';
import Recording from '../support/Recording.js';
import WorkerProxy from '../support/WorkerProxy.js';
import sendRequest from '../support/sendRequest.js';

const ENTRIES = 3;
const WORKERS = 5;

/** Attempts that the route allows, in `createConfiguration`. */
const MAXIMUM_ATTEMPTS = 2;

/** Requests that may run on more workers than that. */
const ALLOWED_REQUESTS = 3;

/** Time for which the entry is partitioned from the workers, in ms. */
const CUT_MILLISECONDS = 10_000;

/** Time between two requests, in ms: 25 a second. */
const REQUEST_MILLISECONDS = 40;

/** Of so many requests workers answer one with 500: a share of 0.14, `error_share` of the site file. */
const FAILING_PERIOD = 7;

/** Time that a worker takes for a request, in ms. */
const WORK_MILLISECONDS = 40;

/** Requests before the partition, so that the entries know the workers, in ms. */
const CALM_MILLISECONDS = 4_000;

const isDisturbed = process.env.TROUBLE !== '0';
const recording = new Recording(fileURLToPath(new URL('record.txt', import.meta.url)));

/** Workers that ran each request. */
const workersOf = new Map();

/** A worker is sound, and fails the requests that it cannot serve, as each worker would. */
async function serveRequest(worker, { requestId }, incoming, outgoing) {
  const body = await text(incoming);
  workersOf.set(requestId, [...workersOf.get(requestId) ?? [], worker]);
  await sleep(WORK_MILLISECONDS);
  const status = body.startsWith('failing') ? 500 : 200;
  recording.add(`${worker} ran ${requestId}: ${status}`);
  const answer = `answer to ${requestId}`;
  outgoing.writeHead(status, {
    'content-length': Buffer.byteLength(answer),
    ...encodeAnswerHeaders({ kind: 'run', requestId, signature: `${worker}.${requestId}` }),
  }).end(answer);
}

/** Sends requests to an entry for a while, and waits for their answers. */
async function sendRequests(entry, milliseconds) {
  const count = Math.floor(milliseconds / REQUEST_MILLISECONDS);
  const answers = [];
  for (let index = 0; index < count; index += 1) {
    const isFailing = index % FAILING_PERIOD === 0;
    const id = `${entry.name}-${milliseconds}-${index}`;
    answers.push(sendRequest({
      address: entry.address, kind: 'safe', id, body: `${isFailing ? 'failing' : 'body of'} ${id}`,
    }).then(({ status, error }) => recording.add(`caller of ${id} got ${status ?? error}`)));
    await sleep(REQUEST_MILLISECONDS);
  }
  await Promise.all(answers);
}

async function run() {
  const proxies = [];
  let entries = [];
  const openProxy = (address) => {
    const proxy = new WorkerProxy(address, () => entries.map(({ pid }) => pid));
    proxies.push(proxy);
    return proxy.listen();
  };
  const deployment = await Deployment.start({
    entryCount: ENTRIES,
    workers: Array.from({ length: WORKERS }, (_, index) => `i-${index}`).map((id) => ({
      id, service: 'plain', hasGroups: false, openProxy, serve: (...call) => serveRequest(id, ...call),
    })),
  });
  try {
    entries = deployment.entries;
    const [entry] = entries;
    await sleep(CALM_MILLISECONDS);
    await sendRequests(entry, CALM_MILLISECONDS);
    if (isDisturbed) {
      recording.add(`${entry.name} is partitioned from all workers for ${CUT_MILLISECONDS} ms`);
      proxies.forEach((proxy) => proxy.partition(entry.pid));
    }
    await sendRequests(entry, CUT_MILLISECONDS);
    proxies.forEach((proxy) => proxy.heal());
    const beyond = [...workersOf].filter(([, workers]) => new Set(workers).size > MAXIMUM_ATTEMPTS);
    beyond.forEach(([id, workers]) => recording.add(
      `${id} ran on ${new Set(workers).size} workers, ${MAXIMUM_ATTEMPTS} are allowed: ${workers.join(' ')}`,
    ));
    const isBroken = beyond.length > ALLOWED_REQUESTS;
    recording.add(isBroken
      ? `BUDGET is broken: ${beyond.length} requests ran on more workers than their route allows`
      : `the rule held: ${beyond.length} requests ran on more workers than their route allows`);
    return isBroken ? 1 : 0;
  } finally {
    await deployment.close();
    proxies.forEach((proxy) => proxy.close());
  }
}

process.exitCode = await run().catch((error) => {
  recording.add(`the case could not run: ${error.stack}`);
  return 2;
});
await recording.save();
