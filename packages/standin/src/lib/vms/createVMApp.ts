import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { EngineOrder, parseWith } from '@dandelionlane/core';
import { z } from 'zod';
import type Engine from '../engine/Engine.js';
import type SlotBook from '../plain/SlotBook.js';
import answerProblem from '../server/answerProblem.js';
import createServerApp from '../server/createServerApp.js';
import readBody from '../server/readBody.js';
import type ServerApp from '../server/ServerApp.js';
import addChatRoute from './addChatRoute.js';
import addPlainRoutes from './addPlainRoutes.js';
import VMFault from './VMFault.js';

const AfterQuery = z.object({ after: z.coerce.number().int().default(0) });
/** Paths that answer although the VM is frozen. */
const NEVER_FROZEN = ['/faults', '/journal'];

function holdWhileFrozen(app: ServerApp, engine: Engine): void {
  app.use('*', async (context, next) => {
    if (NEVER_FROZEN.includes(context.req.path)) {
      return next();
    }
    const { incarnation } = engine.load;
    await engine.gate.pass();
    // A restart loses what came in before. Otherwise a held request runs, also when its caller gave up.
    return incarnation === engine.load.incarnation ? next() : RESPONSE_ALREADY_SENT;
  });
}

function addModelRoutes(app: ServerApp, engine: Engine): void {
  addChatRoute(app, engine);
  app.get('/v1/cache-events', (context) => parseWith(AfterQuery, context.req.query(), 'malformed-request').match(
    ({ after }) => context.json({ events: engine.cacheEvents.after(after) }),
    (error) => answerProblem(context, error),
  ));
}

/** The routes of one VM stand-in. `applyFault` also takes faults that stop the VM's server. */
export default function createVMApp(
  engine: Engine,
  book: SlotBook,
  applyFault: (fault: VMFault) => void,
): ServerApp {
  const app = createServerApp();
  holdWhileFrozen(app, engine);

  app.post('/v1/orders', async (context) => (await readBody(context, EngineOrder))
    .andThen((order) => engine.order(order))
    .match(() => context.json({ accepted: true }, 202), (error) => answerProblem(context, error)));
  app.get('/v1/report', (context) => context.json(engine.report()));
  app.get('/journal', (context) => context.json(engine.journal.toDocument()));
  app.post('/faults', async (context) => (await readBody(context, VMFault)).match(
    (fault) => {
      applyFault(fault);
      return context.json({ fault });
    },
    (error) => answerProblem(context, error),
  ));

  if (engine.parts.vm.kind === 'model') {
    addModelRoutes(app, engine);
  } else {
    addPlainRoutes(app, engine, book);
  }
  return app;
}
