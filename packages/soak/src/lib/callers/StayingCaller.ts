import { setTimeout as sleep } from 'node:timers/promises';
import { Agent } from 'undici';
import type { RandomSource } from '@dandelionlane/core';
import type SoakEntry from '../entries/SoakEntry.js';
import type SoakJournal from '../journal/SoakJournal.js';
import createRequest from './createRequest.js';
import pickKind from './pickKind.js';
import sendRecorded from './sendRecorded.js';

/** Bounds of the rate that is drawn, in requests a second. */
const LOWEST_RATE = 3;
const HIGHEST_RATE = 20;

/** Time between two looks whether an entry is back, in ms. */
const POLL_MILLISECONDS = 100;

/**
 * Sends requests to one entry over kept connections, whatever the directory names, and opens new
 * ones where an answer closes its connection. It goes on until the process is gone.
 */
export default class StayingCaller {
  readonly #journal: SoakJournal;

  readonly #entry: SoakEntry;

  readonly #random: RandomSource;

  readonly #agent = new Agent({ connect: { timeout: 1_000 }, connections: 32 });

  #sent = 0;

  constructor(journal: SoakJournal, entry: SoakEntry, random: RandomSource) {
    this.#journal = journal;
    this.#entry = entry;
    this.#random = random;
  }

  /** Sends requests until told to stop, and waits for their answers. */
  async run(isOver: () => boolean): Promise<void> {
    const perSecond = LOWEST_RATE + (HIGHEST_RATE - LOWEST_RATE) * this.#random.next();
    const running = new Set<Promise<void>>();
    while (!isOver()) {
      if (this.#entry.running) {
        const sending = this.#send().then(() => {
          running.delete(sending);
        });
        running.add(sending);
        await sleep((1_000 / perSecond) * 2 * this.#random.next());
      } else {
        await sleep(POLL_MILLISECONDS);
      }
    }
    await Promise.all(running);
    await this.#agent.destroy();
  }

  async #send(): Promise<void> {
    this.#sent += 1;
    const { name, callerAddress } = this.#entry;
    const id = `${name}-request-${this.#sent}`;
    const sent = createRequest({
      id, kind: pickKind(this.#random), entry: name, overLink: false,
    }, this.#random);
    await sendRecorded(this.#journal, sent, callerAddress, this.#agent);
  }
}
