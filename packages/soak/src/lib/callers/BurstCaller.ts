import { setTimeout as sleep } from 'node:timers/promises';
import { Agent } from 'undici';
import type { RandomSource } from '@dandelionlane/core';
import type SoakEntry from '../entries/SoakEntry.js';
import pick from '../faults/pick.js';
import type SoakJournal from '../journal/SoakJournal.js';
import createRequest from './createRequest.js';
import exchange from './exchange.js';

/** Requests that are sent at once. */
const BURST = 60;

/** Time between two bursts, in ms. */
const PERIOD_MILLISECONDS = 2_000;

/** Sends many requests at once to one entry, and again: what their answers hold adds up there. */
export default class BurstCaller {
  readonly #journal: SoakJournal;

  readonly #entries: readonly SoakEntry[];

  readonly #random: RandomSource;

  readonly #agent = new Agent({ connect: { timeout: 1_000 } });

  constructor(journal: SoakJournal, entries: readonly SoakEntry[], random: RandomSource) {
    this.#journal = journal;
    this.#entries = entries;
    this.#random = random;
  }

  /** Sends bursts until told to stop, and waits for their answers. */
  async run(isOver: () => boolean): Promise<void> {
    const running: Promise<void>[] = [];
    while (!isOver()) {
      const entry = pick(this.#entries, this.#random);
      const first = running.length;
      running.push(...Array.from({ length: BURST }, (_, index) => this.#send(entry, `burst-${first + index}`)));
      await sleep(PERIOD_MILLISECONDS);
    }
    await Promise.all(running);
    await this.#agent.destroy();
  }

  async #send({ name, callerAddress }: SoakEntry, id: string): Promise<void> {
    const sent = createRequest({
      id, kind: 'safe', entry: name, overLink: false,
    }, this.#random);
    this.#journal.requests.set(id, sent);
    sent.outcome = await exchange(sent, callerAddress, this.#agent);
  }
}
