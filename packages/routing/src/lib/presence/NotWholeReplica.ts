import type { VMId } from '@dandelionlane/core';
import type NotWholeReason from './NotWholeReason.js';

/** A replica that cannot take requests. `vm` is the first faulty member, null if no member is. */
export default interface NotWholeReplica {
  readonly kind: 'not-whole';
  readonly reason: NotWholeReason;
  readonly vm: VMId | null;
}
