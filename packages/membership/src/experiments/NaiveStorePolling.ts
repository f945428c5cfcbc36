import { ReleaseSequence } from '@dandelionlane/core';
import type ReleaseHead from '../lib/messages/ReleaseHead.js';
import type ReleaseDisseminationCommand from '../lib/release/ReleaseDisseminationCommand.js';
import type ReleaseDisseminationEvent from '../lib/release/ReleaseDisseminationEvent.js';
import type DisseminationProcess from './DisseminationProcess.js';

const POLL_MILLISECONDS = 1_000;

/** Naive baseline: every entry polls the store each second and reads changes from it. */
export default class NaiveStorePolling implements DisseminationProcess {
  #sequence = ReleaseSequence.parse(0);

  #nextPollAt = Number.NEGATIVE_INFINITY;

  step(event: ReleaseDisseminationEvent, now: number): readonly ReleaseDisseminationCommand[] {
    switch (event.kind) {
      case 'tick':
        return this.#tick(now);
      case 'store-head':
        return event.sequence > this.#sequence ? [{ kind: 'read-store', after: this.#sequence }] : [];
      case 'in-force':
        this.#sequence = ReleaseSequence.parse(Math.max(this.#sequence, event.sequence));
        return [];
      default:
        return [];
    }
  }

  head(): ReleaseHead {
    return { sequenceInForce: this.#sequence, storeReads: 0 };
  }

  #tick(now: number): readonly ReleaseDisseminationCommand[] {
    if (now < this.#nextPollAt) {
      return [];
    }
    this.#nextPollAt = now + POLL_MILLISECONDS;
    return [{ kind: 'poll-store' }];
  }
}
