import type { VMId } from '@dandelionlane/core';
import type NotWholeReason from './NotWholeReason.js';

/** A replica that takes no request. `vm` is the first member at fault, if one is. */
export default interface NotWholeReplica {
  readonly kind: 'not-whole';
  readonly reason: NotWholeReason;
  readonly vm: VMId | null;
}
