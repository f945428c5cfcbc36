import {
  type Clock, parseWith, ServingError, VMId, VMRecord,
} from '@dandelionlane/core';
import { z } from 'zod';
import type ServerApp from '../server/ServerApp.js';
import type PlatformSettings from './PlatformSettings.js';
import VMDirectory from './VMDirectory.js';
import answerProblem from '../server/answerProblem.js';
import readBody from '../server/readBody.js';

const VMParameters = z.object({ vm: VMId });
const StateChange = z.object({ state: z.enum(['live', 'leaving', 'gone']) });

/** Adds the list of VMs under `/v1/vms`. */
export default function addVMRoutes(
  app: ServerApp,
  settings: PlatformSettings,
  clock: Clock,
): void {
  const directory = new VMDirectory(settings.vms, settings.vmListLagMilliseconds, clock);

  app.get('/v1/vms', (context) => context.json({ vms: directory.list() }));

  app.put('/v1/vms/:vm', async (context) => (await readBody(context, VMRecord)).match(
    (record) => {
      directory.put(record);
      return context.body(null, 204);
    },
    (error) => answerProblem(context, error),
  ));

  app.post('/v1/vms/:vm', async (context) => {
    const changed = await parseWith(VMParameters, context.req.param(), 'malformed-request')
      .asyncAndThen(({ vm }) => readBody(context, StateChange)
        .map(({ state }) => directory.setState(vm, state)));
    return changed.match(
      (found) => (found
        ? context.body(null, 204)
        : answerProblem(context, new ServingError('no such VM', { kind: 'unknown-path' }))),
      (error) => answerProblem(context, error),
    );
  });
}
