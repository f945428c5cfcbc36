import type { Clock } from '@dandelionlane/core';
import type { Dispatcher } from 'undici';

/** What callers work with. */
export default interface CallerParts {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly timeoutMilliseconds: number;
}
