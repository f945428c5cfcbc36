import { request } from 'undici';
import type EngineParts from './EngineParts.js';
import type LoadOrder from './LoadOrder.js';
import sleep from '../sleep.js';

const RETRY_MILLISECONDS = 200;

async function requestTransfer(
  parts: EngineParts,
  order: LoadOrder,
  bytes: number,
  signal: AbortSignal,
): Promise<boolean> {
  const answer = await request(`http://${parts.common.platform}/v1/weights/fetches`, {
    method: 'POST',
    body: JSON.stringify({ model: order.model ?? '', version: order.version, bytes }),
    dispatcher: parts.dispatcher,
    headersTimeout: 0,
    signal,
  });
  await answer.body.dump();
  return answer.statusCode === 200;
}

/** Takes weights from the weight store, or for a fixed time without one. Ends early when aborted. */
export default async function fetchWeights(
  parts: EngineParts,
  order: LoadOrder,
  signal: AbortSignal,
): Promise<void> {
  const { timing } = parts.vm;
  if (timing.weightBytes === undefined || parts.common.platform === undefined) {
    await sleep(timing.weightLoadMilliseconds, signal);
    return;
  }
  let fetched = false;
  while (!fetched && !signal.aborted) {
    fetched = await requestTransfer(parts, order, timing.weightBytes, signal).catch(() => false);
    if (!fetched) {
      await sleep(RETRY_MILLISECONDS, signal);
    }
  }
}
