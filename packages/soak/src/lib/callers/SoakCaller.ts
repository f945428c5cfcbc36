import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { RandomSource } from '@dandelionlane/core';
import { decodeDirectory, createDirectoryPath } from '@dandelionlane/platform-adapter';
import SOAK_NAMES from '../SOAK_NAMES.js';
import type SoakEntry from '../entries/SoakEntry.js';
import type RequestKind from '../journal/RequestKind.js';
import type SoakJournal from '../journal/SoakJournal.js';
import createRequest from './createRequest.js';
import pickKind from './pickKind.js';
import sendRecorded from './sendRecorded.js';

/** Time for which a directory answer is kept, in ms. */
const DIRECTORY_KEPT_MILLISECONDS = 2_000;

/** Time within which a directory answer has to come, in ms. */
const DIRECTORY_TIMEOUT_MILLISECONDS = 1_000;

const OK = 200;

const CALLER_ZONE = 'zone-a';

/** Sends requests the way callers do: to addresses that the directory names, over kept connections. */
export default class SoakCaller {
  readonly #journal: SoakJournal;

  readonly #entries: readonly SoakEntry[];

  readonly #random: RandomSource;

  readonly #agent = new Agent({ connect: { timeout: 1_000 }, connections: 64 });

  #named: readonly string[] = [];

  #namedAt = Number.NEGATIVE_INFINITY;

  #sent = 0;

  constructor(journal: SoakJournal, entries: readonly SoakEntry[], random: RandomSource) {
    this.#journal = journal;
    this.#entries = entries;
    this.#random = random;
  }

  /** Sends requests at a rate until told to stop, and waits for their answers. */
  async run(perSecond: number, isOver: () => boolean): Promise<void> {
    const running = new Set<Promise<void>>();
    while (!isOver()) {
      const sending = this.send(pickKind(this.#random)).then(() => {
        running.delete(sending);
      });
      running.add(sending);
      await sleep((1_000 / perSecond) * 2 * this.#random.next());
    }
    await Promise.all(running);
  }

  /** Sends one request. Resolves when it has ended, or when there was no entry to send it to. */
  async send(kind: RequestKind): Promise<void> {
    const entry = await this.#pickEntry();
    if (entry === null) {
      return;
    }
    this.#sent += 1;
    const id = `request-${this.#sent}`;
    const sent = createRequest({
      id, kind, entry: entry.name, overLink: true,
    }, this.#random);
    await sendRecorded(this.#journal, sent, entry.callerLink.address, this.#agent);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #pickEntry(): Promise<SoakEntry | null> {
    if (performance.now() - this.#namedAt > DIRECTORY_KEPT_MILLISECONDS || this.#named.length === 0) {
      await this.#askDirectory();
    }
    const address = this.#named[Math.floor(this.#random.next() * this.#named.length)];
    return this.#entries.find(({ callerAddress }) => callerAddress === address) ?? null;
  }

  async #askDirectory(): Promise<void> {
    const asked = this.#entries[Math.floor(this.#random.next() * this.#entries.length)];
    const answer = await request(
      `http://${String(asked?.directoryAddress)}${createDirectoryPath(SOAK_NAMES.host, SOAK_NAMES.region, CALLER_ZONE)}`,
      { dispatcher: this.#agent, signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MILLISECONDS) },
    ).then(async ({ statusCode, body }) => (
      statusCode === OK ? decodeDirectory(await body.json()).unwrapOr([]) : []
    )).catch((): readonly string[] => []);
    // Callers keep an old answer when they cannot get a new one.
    if (answer.length > 0) {
      this.#named = answer;
      this.#namedAt = performance.now();
    }
  }
}
