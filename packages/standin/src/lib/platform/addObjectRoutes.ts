import { ServingError } from '@dandelionlane/core';
import type ServerApp from '../server/ServerApp.js';
import type FaultSwitch from './FaultSwitch.js';
import answerProblem from '../server/answerProblem.js';

const PREFIX = '/v1/objects/';

/** Adds the object store: bytes under `/v1/objects/<key>`. */
export default function addObjectRoutes(app: ServerApp, faults: FaultSwitch): void {
  const objects = new Map<string, ArrayBuffer>();

  app.put(`${PREFIX}*`, async (context) => {
    const passed = await faults.pass();
    if (passed.isErr()) {
      return answerProblem(context, passed.error);
    }
    objects.set(context.req.path.slice(PREFIX.length), await context.req.arrayBuffer());
    return context.body(null, 204);
  });

  app.get(`${PREFIX}*`, async (context) => {
    const passed = await faults.pass();
    if (passed.isErr()) {
      return answerProblem(context, passed.error);
    }
    const bytes = objects.get(context.req.path.slice(PREFIX.length));
    return bytes === undefined
      ? answerProblem(context, new ServingError('no such object', { kind: 'unknown-path' }))
      : context.body(bytes);
  });
}
