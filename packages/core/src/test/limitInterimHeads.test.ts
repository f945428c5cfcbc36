import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import limitInterimHeads from '../lib/streams/limitInterimHeads.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const TIMEOUT_MILLISECONDS = 100;
const SIGNALS = 20;

// Probes of silent targets never ended: the garbage collector took the timeouts that should have ended them.
test('a timeout ends a request whether or not garbage is collected before', async () => {
  let aborted = 0;
  const signals = Array.from({ length: SIGNALS }, () => {
    const { signal } = limitInterimHeads(AbortSignal.timeout(TIMEOUT_MILLISECONDS));
    signal.addEventListener('abort', () => {
      aborted += 1;
    });
    return signal;
  });
  for (let collections = 0; collections < 5; collections += 1) {
    await sleep(1);
    collectGarbage();
  }
  await sleep(TIMEOUT_MILLISECONDS * 3);
  expect([aborted, signals.filter((signal) => signal.aborted).length]).toEqual([SIGNALS, SIGNALS]);
});
