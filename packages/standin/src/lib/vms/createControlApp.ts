import { ServingError, VMId } from '@dandelionlane/core';
import mergeJournals from '../journal/mergeJournals.js';
import answerProblem from '../server/answerProblem.js';
import createServerApp from '../server/createServerApp.js';
import readBody from '../server/readBody.js';
import type ServerApp from '../server/ServerApp.js';
import VMFault from './VMFault.js';
import type VMServer from './VMServer.js';

/** The routes by which tests reach all VMs of a process, also those that are down. */
export default function createControlApp(servers: ReadonlyMap<VMId, VMServer>): ServerApp {
  const app = createServerApp();
  const find = (name: string) => {
    const vm = VMId.safeParse(name);
    return vm.success ? servers.get(vm.data) : undefined;
  };
  const unknown = () => new ServingError('no such VM', { kind: 'unknown-path' });

  app.get('/vms', (context) => context.json({
    vms: [...servers].map(([vm, { address }]) => ({ vm, address })),
  }));
  app.get('/journal', (context) => context.json(
    mergeJournals([...servers.values()].map(({ engine }) => engine.journal.toDocument())),
  ));
  app.get('/vms/:vm/journal', (context) => {
    const server = find(context.req.param('vm'));
    return server === undefined
      ? answerProblem(context, unknown())
      : context.json(server.engine.journal.toDocument());
  });
  app.post('/vms/:vm/faults', async (context) => {
    const server = find(context.req.param('vm'));
    const fault = await readBody(context, VMFault);
    if (server === undefined || fault.isErr()) {
      return answerProblem(context, fault.isErr() ? fault.error : unknown());
    }
    await server.apply(fault.value);
    return context.json({ fault: fault.value });
  });
  return app;
}
