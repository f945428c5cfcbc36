import type { Clock } from '@dandelionlane/core';
import { z } from 'zod';
import type ServerApp from '../server/ServerApp.js';
import type PlatformSettings from './PlatformSettings.js';
import WeightTransfers from './WeightTransfers.js';
import answerProblem from '../server/answerProblem.js';
import readBody from '../server/readBody.js';

const WeightFetch = z.object({
  model: z.string(),
  version: z.string(),
  bytes: z.number().nonnegative(),
});

/** Adds the rate-limited weight store under `/v1/weights`. */
export default function addWeightRoutes(
  app: ServerApp,
  settings: PlatformSettings,
  clock: Clock,
): void {
  const transfers = new WeightTransfers(settings.weightBytesPerSecond, clock);

  app.post('/v1/weights/fetches', async (context) => {
    const request = await readBody(context, WeightFetch);
    if (request.isErr()) {
      return answerProblem(context, request.error);
    }
    await transfers.fetch(request.value.bytes, context.req.raw.signal);
    return context.json({ ...request.value, finished: true });
  });
}
