import { setTimeout as delay } from 'node:timers/promises';

/** Waits for the given milliseconds, or until the signal aborts. Never rejects. */
export default async function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
  if (milliseconds <= 0 || signal?.aborted === true) {
    return;
  }
  await delay(milliseconds, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
}
