import type { Clock, Nonce, TableStore } from '@dandelionlane/core';

/** External dependencies of a publication. */
export default interface PublishDependencies {
  readonly store: TableStore;
  /** Sets the date of the record; no decision depends on it. */
  readonly clock: Clock;
  /** Creates a nonce that is unique to the publication. */
  readonly createNonce: () => Nonce;
}
