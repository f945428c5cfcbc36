import type { RequestId } from '@dandelionlane/core';
import type RefusalKind from './RefusalKind.js';

/** A refused request, with the delay after which its caller may retry. */
export default interface Refusal {
  readonly requestId: RequestId;
  readonly kind: RefusalKind;
  readonly retryAfterSeconds: number;
}
