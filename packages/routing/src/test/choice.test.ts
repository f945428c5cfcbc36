import { SeededRandom } from '@dandelionlane/core';
import { expect, test } from 'vitest';
import { chooseTarget } from '../index.js';

test('no candidates gives none', () => {
  const request = {
    availabilityZone: 'zone-a' as never, prefixHash: null, estimatedTokens: 1, tried: [], mayProbe: false,
  };
  expect(chooseTarget(request, [], new SeededRandom(1)))
    .toEqual({ kind: 'none', reason: 'no-whole-replica' });
});
