import fc from 'fast-check';
import { expect, test } from 'vitest';
import EventBuffer from '../lib/streams/EventBuffer.js';

test('an event is written only after a confirmation that began after its arrival', async () => {
  const step = fc.oneof(fc.constant('event' as const), fc.constant('confirmed' as const), fc.constant('lost' as const));
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 30 }), async (steps) => {
    let arrivedCount = 0;
    let writtenCount = 0;
    let confirmedCount = 0;
    let isLost = false;
    let resolveConfirmation: ((isWhole: boolean) => void) | undefined;
    const buffer = new EventBuffer({
      confirm: () => {
        const arrivedBefore = arrivedCount;
        return new Promise<boolean>((resolve) => {
          resolveConfirmation = (isWhole) => {
            resolveConfirmation = undefined;
            confirmedCount = isWhole ? arrivedBefore : confirmedCount;
            resolve(isWhole);
          };
        });
      },
      write: (_, tokens) => {
        writtenCount += tokens;
      },
      onReplicaLost: () => {
        isLost = true;
      },
    });
    for (const each of steps) {
      if (each === 'event') {
        arrivedCount += 1;
        buffer.add(Buffer.from('x'), true);
        buffer.startConfirmation();
      } else {
        resolveConfirmation?.(each === 'confirmed');
      }
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      expect(writtenCount).toBeLessThanOrEqual(confirmedCount);
      expect(isLost ? writtenCount : confirmedCount).toBe(writtenCount);
    }
  }), { seed: 20_261_204, numRuns: 200 });
});
