import {
  RowVersion, TABLE_NAMES, type TableRow, type TableStore,
} from '@dandelionlane/core';
import ClaimRecord from './ClaimRecord.js';

const FIRST_RETRY_MILLISECONDS = 200;
const LAST_RETRY_MILLISECONDS = 10_000;
const MAXIMUM_ATTEMPTS = 400;

function mayOverwrite(row: TableRow, record: ClaimRecord): boolean {
  if (row.version === 0) {
    return true;
  }
  const existing = ClaimRecord.safeParse(row.value);
  if (!existing.success) {
    return false;
  }
  const { nonce, state } = existing.data;
  return state === 'released' ? nonce !== record.nonce : state === 'claimed' && nonce === record.nonce;
}

/**
 * Marks abandoned claims as released in the background, with retries until the store has answered.
 *
 * Invariant: only a claimed row with the abandoned nonce, a released row or an absent row
 * is overwritten. Overwriting an absent or released row also prevents an in-flight commit
 * of the claim from taking effect later, since that commit is conditioned on the row's
 * version.
 */
export default class ClaimReleaser {
  readonly #store: TableStore;

  constructor(store: TableStore) {
    this.#store = store;
  }

  release(key: string, record: ClaimRecord): void {
    void this.#releaseWithRetries(key, record);
  }

  async #releaseWithRetries(key: string, record: ClaimRecord): Promise<void> {
    let backoffMilliseconds = FIRST_RETRY_MILLISECONDS;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      if (await this.#tryRelease(key, record)) {
        return;
      }
      const delayMilliseconds = backoffMilliseconds;
      await new Promise((resolve) => {
        setTimeout(resolve, delayMilliseconds).unref();
      });
      backoffMilliseconds = Math.min(backoffMilliseconds * 2, LAST_RETRY_MILLISECONDS);
    }
  }

  /** Returns true once the claim is released or the row must not be overwritten. */
  async #tryRelease(key: string, record: ClaimRecord): Promise<boolean> {
    const rows = await this.#store.read([{ table: TABLE_NAMES.claims, key }]);
    const row = rows.isOk() ? rows.value[0] : undefined;
    if (row === undefined) {
      return false;
    }
    if (!mayOverwrite(row, record)) {
      return true;
    }
    const outcome = await this.#store.commit({
      conditions: [{ table: TABLE_NAMES.claims, key, version: RowVersion.parse(row.version) }],
      writes: [{ table: TABLE_NAMES.claims, key, value: record }],
    });
    return outcome.isOk() && outcome.value.kind === 'committed';
  }
}
