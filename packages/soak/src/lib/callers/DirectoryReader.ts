import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { createDirectoryPath, decodeDirectory } from '@dandelionlane/platform-adapter';
import SOAK_NAMES from '../SOAK_NAMES.js';
import type SoakEntry from '../entries/SoakEntry.js';
import type SoakJournal from '../journal/SoakJournal.js';

const PERIOD_MILLISECONDS = 250;
const TIMEOUT_MILLISECONDS = 500;
const OK = 200;

/** Asks the directory of each entry again and again, as callers together do. */
export default class DirectoryReader {
  readonly #journal: SoakJournal;

  readonly #entries: readonly SoakEntry[];

  constructor(journal: SoakJournal, entries: readonly SoakEntry[]) {
    this.#journal = journal;
    this.#entries = entries;
  }

  /** Reads until told to stop. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await Promise.all(this.#entries.map((entry) => this.#read(entry)));
      await sleep(PERIOD_MILLISECONDS);
    }
  }

  async #read({ name, directoryAddress }: SoakEntry): Promise<void> {
    const path = createDirectoryPath(SOAK_NAMES.host, SOAK_NAMES.region, 'zone-a');
    const addresses = await request(`http://${directoryAddress}${path}`, {
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    }).then(async ({ statusCode, body }) => (
      statusCode === OK ? decodeDirectory(await body.json()).unwrapOr([]) : []
    )).catch((): readonly string[] => []);
    this.#journal.directoryAnswers.push({ entry: name, at: performance.now(), addresses });
  }
}
