import type { ErrorKind } from '@dandelionlane/core';
import type GiveUpReason from './GiveUpReason.js';

/** What to do after a failed attempt. */
type RetryDecision = | { readonly kind: 'retry-elsewhere' }
  | { readonly kind: 'resume'; readonly deliveredTokens: number }
  | { readonly kind: 'give-up'; readonly error: ErrorKind; readonly reason: GiveUpReason };

export default RetryDecision;
