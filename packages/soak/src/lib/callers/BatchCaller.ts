import { setTimeout as sleep } from 'node:timers/promises';
import { Agent } from 'undici';
import type SoakJournal from '../journal/SoakJournal.js';
import type RequestBatch from './RequestBatch.js';
import sendRecorded from './sendRecorded.js';

/** Sends batches of requests straight to entries, one batch after the other. */
export default class BatchCaller {
  readonly #journal: SoakJournal;

  /** @param sent Requests sent before. */
  readonly #drawBatch: (sent: number) => RequestBatch;

  readonly #agent = new Agent({ connect: { timeout: 1_000 } });

  constructor(journal: SoakJournal, drawBatch: (sent: number) => RequestBatch) {
    this.#journal = journal;
    this.#drawBatch = drawBatch;
  }

  /** Sends batches until told to stop, and waits for their answers. */
  async run(isOver: () => boolean): Promise<void> {
    const running: Promise<void>[] = [];
    while (!isOver()) {
      const { entry, requests, pauseMilliseconds } = this.#drawBatch(running.length);
      running.push(...requests.map((request) => (
        sendRecorded(this.#journal, request, entry.callerAddress, this.#agent)
      )));
      await sleep(pauseMilliseconds);
    }
    await Promise.all(running);
    await this.#agent.destroy();
  }
}
