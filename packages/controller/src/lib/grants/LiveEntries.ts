import { err, ok, type ResultAsync } from 'neverthrow';
import { readFile } from 'node:fs/promises';
import { ResultAsync as Async } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import { EntryRecord, ServingError, parseWith } from '@dandelionlane/core';

const TIMEOUT_MILLISECONDS = 1_000;
const STATUS_OK = 200;

const MembersDocument = z.object({
  members: z.array(z.object({
    entry: EntryRecord,
    state: z.enum(['alive', 'suspect', 'leaving', 'dead']),
  })),
});

/** Lists the live entries as known to the entry beside the controller. */
export default class LiveEntries {
  readonly #dispatcher: Dispatcher;

  readonly #address: string;

  readonly #tokenFile: string;

  #entries: readonly EntryRecord[] = [];

  constructor(dispatcher: Dispatcher, address: string, tokenFile: string) {
    this.#dispatcher = dispatcher;
    this.#address = address;
    this.#tokenFile = tokenFile;
  }

  /** Entries that accept requests, as of the last successful refresh. */
  entries(): readonly EntryRecord[] {
    return this.#entries;
  }

  /** Refreshes the list. After an error the previous list stays. */
  refresh(): ResultAsync<void, ServingError> {
    return Async.fromPromise(this.#fetchMembers(), (cause) => new ServingError(
      'the entry beside this controller did not answer',
      { kind: 'platform-answer-invalid', cause },
    ))
      .andThen((data) => parseWith(MembersDocument, data, 'platform-answer-invalid'))
      .andThen(({ members }) => {
        const alive = members.filter(({ state }) => state === 'alive' || state === 'suspect');
        if (alive.length === 0) {
          return err(new ServingError('no entry is alive', { kind: 'platform-answer-invalid' }));
        }
        this.#entries = alive.map(({ entry }) => entry);
        return ok(undefined);
      });
  }

  async #fetchMembers(): Promise<unknown> {
    const token = (await readFile(this.#tokenFile, 'utf8')).trim();
    const answer = await this.#dispatcher.request({
      origin: `http://${this.#address}`,
      path: '/admin/v1/members',
      method: 'GET',
      headers: { authorization: `Bearer ${token}` },
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    if (answer.statusCode !== STATUS_OK) {
      await answer.body.dump();
      throw new Error(`status ${answer.statusCode}`);
    }
    return answer.body.json();
  }
}
