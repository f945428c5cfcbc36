import type { Clock, Nonce, TableStore } from '@dandelionlane/core';

/** What a publication needs from the outside. */
export default interface PublishDependencies {
  readonly store: TableStore;
  /** For the date in the record; no decision rests on it. */
  readonly clock: Clock;
  /** Makes a nonce that no other publication has. */
  readonly createNonce: () => Nonce;
}
