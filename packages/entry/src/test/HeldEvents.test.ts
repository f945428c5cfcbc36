import fc from 'fast-check';
import { expect, test } from 'vitest';
import EventBuffer from '../lib/streams/EventBuffer.js';

test('nothing goes out before a confirmation that began after it', async () => {
  const step = fc.oneof(fc.constant('event' as const), fc.constant('confirmed' as const), fc.constant('lost' as const));
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 30 }), async (steps) => {
    let came = 0;
    let written = 0;
    let coveredBy = 0;
    let refused = false;
    let answer: ((isWhole: boolean) => void) | undefined;
    const buffer = new EventBuffer({
      confirm: () => {
        const covers = came;
        return new Promise<boolean>((resolve) => {
          answer = (isWhole) => {
            answer = undefined;
            coveredBy = isWhole ? covers : coveredBy;
            resolve(isWhole);
          };
        });
      },
      write: (_, tokens) => {
        written += tokens;
      },
      onReplicaLost: () => {
        refused = true;
      },
    });
    for (const each of steps) {
      if (each === 'event') {
        came += 1;
        buffer.add(Buffer.from('x'), true);
        buffer.startConfirmation();
      } else {
        answer?.(each === 'confirmed');
      }
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      expect(written).toBeLessThanOrEqual(coveredBy);
      expect(refused ? written : coveredBy).toBe(written);
    }
  }), { seed: 20_261_204, numRuns: 200 });
});
