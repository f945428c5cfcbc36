import type { Nonce, RowVersion } from '@dandelionlane/core';

/** The right to send one call once. */
export default interface ClaimHandle {
  readonly key: string;
  readonly nonce: Nonce;
  readonly version: RowVersion;
  readonly fingerprint: string;
  readonly claimedAt: string;
}
