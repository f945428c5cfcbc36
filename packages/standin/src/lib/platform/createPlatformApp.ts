import { type Clock, MemoryTableStore } from '@dandelionlane/core';
import addObjectRoutes from './addObjectRoutes.js';
import addTableRoutes from './addTableRoutes.js';
import addVMRoutes from './addVMRoutes.js';
import addWeightRoutes from './addWeightRoutes.js';
import FaultSwitch from './FaultSwitch.js';
import type PlatformCounters from './PlatformCounters.js';
import PlatformFault from './PlatformFault.js';
import type PlatformSettings from './PlatformSettings.js';
import answerProblem from '../server/answerProblem.js';
import createServerApp from '../server/createServerApp.js';
import readBody from '../server/readBody.js';
import type ServerApp from '../server/ServerApp.js';

/** The routes of the platform stand-in. */
export default function createPlatformApp(
  settings: PlatformSettings,
  clock: Clock,
): ServerApp {
  const app = createServerApp();
  const store = new MemoryTableStore();
  const faults = new FaultSwitch(store);
  const counters: PlatformCounters = { reads: 0, writes: 0, scans: 0 };
  addTableRoutes(app, {
    store, faults, counters, settings, clock,
  });
  addObjectRoutes(app, faults);
  addVMRoutes(app, settings, clock);
  addWeightRoutes(app, settings, clock);
  app.get('/healthz', (context) => context.json({}));
  app.get('/counters', (context) => context.json(counters));
  app.post('/faults', async (context) => (await readBody(context, PlatformFault)).match(
    (fault) => {
      faults.set(fault);
      return context.json({ fault });
    },
    (error) => answerProblem(context, error),
  ));
  return app;
}
