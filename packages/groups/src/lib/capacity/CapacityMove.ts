import type { FabricDomainId, ModelName } from '@dandelionlane/core';
import type GroupRecord from '../plan/GroupRecord.js';

/** A move of the workers of some groups of one domain from one model to another. */
export default interface CapacityMove {
  readonly donor: ModelName;
  readonly receiver: ModelName;
  /** Size of a group of the receiver. */
  readonly receiverSize: number;
  readonly domain: FabricDomainId | null;
  /** The donor's groups, as recorded at the start of the move. */
  readonly records: readonly GroupRecord[];
  /**
   * `staging`: the groups serve while their hosts load the receiver's weights. `closing`: they close and
   * their members leave. `forming`: the receiver's groups form.
   */
  readonly phase: 'staging' | 'closing' | 'forming';
}
