import type { EntryRecord } from '@dandelionlane/core';
import createFakeNetwork from './createFakeNetwork.js';
import type FakeNetwork from './FakeNetwork.js';
import type FakeNetworkOptions from './FakeNetworkOptions.js';
import HeartbeatMesh from './HeartbeatMesh.js';
import NaiveStorePolling from './NaiveStorePolling.js';
import type Variant from './Variant.js';

/** Creates a network of entries that run the given variant. */
export default function createVariantNetwork(
  variant: Variant,
  records: readonly EntryRecord[],
  options: Partial<FakeNetworkOptions>,
): FakeNetwork {
  switch (variant) {
    case 'membership':
      return createFakeNetwork(options);
    case 'naive':
      return createFakeNetwork({
        createMembership: (self) => new HeartbeatMesh(self, records),
        createDissemination: () => new NaiveStorePolling(),
        ...options,
      });
    default:
      throw new Error(`unknown variant ${String(variant satisfies never)}`);
  }
}
