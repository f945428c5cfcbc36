import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { encodeAnswerHeaders } from '@dandelionlane/platform-adapter';
import Deployment from '../support/Deployment.js';
import Recording from '../support/Recording.js';
import sendRequest from '../support/sendRequest.js';

const EVENTS = 40;
const EVENT_MILLISECONDS = 40;
const STREAMS = 4;

/** Time after the streams begin at which the process is killed, in ms: about half of their events are out. */
const KILL_MILLISECONDS = 800;

const isDisturbed = process.env.TROUBLE !== '0';
const recording = new Recording(fileURLToPath(new URL('record.txt', import.meta.url)));

function createEvent(id, index) {
  return `id: ${index}\ndata: ${id} event ${index}\n\n`;
}

/** Runs of the worker, by request: how many events it wrote, and how it saw the run end. */
const runs = [];

/** Answers with a stream that has neither a length nor chunks and ends with its connection. */
async function serveStream(worker, { requestId, lastEventId }, incoming, outgoing) {
  await text(incoming);
  const ownRun = {
    requestId, worker, written: 0, end: 'cut by the entry',
  };
  runs.push(ownRun);
  recording.add(`${worker} runs ${requestId}, goes on after event ${lastEventId ?? 'none'}`);
  const answer = outgoing;
  answer.useChunkedEncodingByDefault = false;
  answer.shouldKeepAlive = false;
  answer.writeHead(200, {
    'content-type': 'text/event-stream',
    ...encodeAnswerHeaders({ kind: 'run', requestId, signature: `${worker}.${runs.length}` }),
  });
  for (let index = Number(lastEventId ?? 0) + 1; index <= EVENTS && !answer.destroyed; index += 1) {
    await sleep(EVENT_MILLISECONDS);
    answer.write(createEvent(requestId, index));
    ownRun.written = index;
  }
  if (!answer.destroyed) {
    answer.end();
    ownRun.end = 'complete';
  }
  recording.add(`${worker} ends ${requestId} after event ${ownRun.written}: ${ownRun.end}`);
}

function countEvents(body) {
  return body.split('\n\n').length - 1;
}

async function run() {
  const deployment = await Deployment.start({
    entryCount: 2,
    workers: ['i-0', 'i-1', 'i-2', 'i-3'].map((id) => ({
      id, service: 'model', hasGroups: true, serve: (...call) => serveStream(id, ...call),
    })),
  });
  try {
    await deployment.waitUntilServed('stream');
    const [entry] = deployment.entries;
    recording.add(`${STREAMS} streams are sent to ${entry.name}`);
    const answers = Promise.all(Array.from({ length: STREAMS }, (_, index) => (
      sendRequest({ address: entry.address, kind: 'stream', id: `stream-${index}` })
    )));
    await sleep(KILL_MILLISECONDS);
    if (isDisturbed) {
      recording.add(`SIGKILL to ${entry.name}`);
      entry.signal('SIGKILL');
    }
    const outcomes = await answers;
    outcomes.forEach(({
      id, status, signature, body, complete, error,
    }) => recording.add(`caller of ${id} got status ${status}, seal ${signature}, ${countEvents(body)} of ${EVENTS} events, `
      + `${complete ? 'complete' : `not complete: ${error}`}`));
    if (!isDisturbed && outcomes.some(({ complete }) => !complete)) {
      return 2;
    }
    const isBroken = outcomes.some(({ status, body, complete }) => (
      status === 200 && complete && countEvents(body) < EVENTS
    ));
    recording.add(isBroken ? 'ORDER is broken: a stream ended as complete before its last event' : 'the rule held');
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
