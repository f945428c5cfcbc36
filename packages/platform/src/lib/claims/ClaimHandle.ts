import type { Nonce, RowVersion } from '@dandelionlane/core';

/** A granted claim: entitles its holder to send one call once. */
export default interface ClaimHandle {
  readonly key: string;
  readonly nonce: Nonce;
  readonly version: RowVersion;
  readonly fingerprint: string;
  readonly claimedAt: string;
}
