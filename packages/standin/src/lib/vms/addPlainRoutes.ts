import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { HEADERS, ServingError } from '@dandelionlane/core';
import type Engine from '../engine/Engine.js';
import readIdentity from '../engine/readIdentity.js';
import type RunningRequest from '../engine/RunningRequest.js';
import type PlainCall from '../plain/PlainCall.js';
import runPlainCall from '../plain/runPlainCall.js';
import type SlotBook from '../plain/SlotBook.js';
import answerProblem from '../server/answerProblem.js';
import echoHeaders from '../server/echoHeaders.js';
import sendAnswer from '../server/sendAnswer.js';
import type ServerApp from '../server/ServerApp.js';
import type ServerContext from '../server/ServerContext.js';
import sleep from '../sleep.js';
import acceptCall from './acceptCall.js';

const HEADER_PREFIX = 'dandelionlane-';
const OTHER_HEADERS = ['content-type', HEADERS.idempotencyKey];

function pickHeaders(headers: Record<string, string>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers)
    .filter(([name]) => name.startsWith(HEADER_PREFIX) || OTHER_HEADERS.includes(name)));
}

async function readCall(context: ServerContext): Promise<PlainCall> {
  const query = context.req.query();
  return {
    service: '',
    method: context.req.method,
    path: context.req.path,
    query,
    headers: pickHeaders(context.req.header()),
    body: await context.req.text(),
  };
}

async function waitBeforeAnswer(engine: Engine, call: PlainCall, running: RunningRequest): Promise<void> {
  const asked = Number(call.query.delayMilliseconds ?? 0) || 0;
  await sleep(asked + engine.faults.slowMilliseconds + engine.faults.takeDelay(), running.signal);
  await engine.gate.pass();
}

/** Adds the plain application under all paths that are not the VM's own. */
export default function addPlainRoutes(app: ServerApp, engine: Engine, book: SlotBook): void {
  app.all('*', async (context) => {
    const call = await readCall(context).catch(() => undefined);
    if (call === undefined) {
      return answerProblem(context, new ServingError('body was cut off', { kind: 'malformed-request' }));
    }
    const identity = readIdentity(context);
    const accepted = acceptCall(context, engine, identity);
    if (accepted.isErr()) {
      return answerProblem(context, accepted.error.error, accepted.error.status);
    }
    const running = accepted.value;
    // The effect comes about also when the caller has gone away.
    if (running.run.outcome === 'failed') {
      return RESPONSE_ALREADY_SENT;
    }
    const { status, body } = runPlainCall({ ...call, service: running.run.service }, book);
    const duplicate = engine.faults.takeDuplicate();
    await waitBeforeAnswer(engine, call, running);
    if (!running.signal.aborted) {
      running.finish();
      const headers = { ...echoHeaders(identity), 'content-type': 'application/json' };
      sendAnswer(context.env.outgoing, { status, headers, body: JSON.stringify(body) }, duplicate);
    }
    return RESPONSE_ALREADY_SENT;
  });
}
