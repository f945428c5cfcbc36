import { ManualClock, Nonce, type TableStore } from '@dandelionlane/core';
import type { PublishDependencies } from '../index.js';

/** Builds the dependencies of a publisher whose nonces start with its name. */
export default function buildDependencies(store: TableStore, name = 'publisher'): PublishDependencies {
  let count = 0;
  return {
    store,
    clock: new ManualClock(),
    createNonce: () => {
      count += 1;
      return Nonce.parse(`${name}-${String(count).padStart(6, '0')}`);
    },
  };
}
