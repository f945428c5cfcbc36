import type { RequestId } from '@dandelionlane/core';
import type RefusalKind from './RefusalKind.js';

/** A request that gets no place, and when the caller may try again. */
export default interface Refusal {
  readonly requestId: RequestId;
  readonly kind: RefusalKind;
  readonly retryAfterSeconds: number;
}
