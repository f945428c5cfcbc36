import {
  err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {
  RowVersion, ServingError, TABLE_NAMES, createNonce,
  type Clock, type EntryId, type TableRow, type TableStore,
} from '@dandelionlane/core';
import type ClaimAttempt from './ClaimAttempt.js';
import type ClaimHandle from './ClaimHandle.js';
import type ClaimOutcome from './ClaimOutcome.js';
import ClaimRecord from './ClaimRecord.js';
import ClaimReleaser from './ClaimReleaser.js';
import type StoredAnswer from './StoredAnswer.js';

const MAXIMUM_CLAIMS_PER_BATCH = 200;
const MAXIMUM_COMPLETE_ATTEMPTS = 7;
const FIRST_COMPLETE_RETRY_MILLISECONDS = 500;

function grant(attempt: ClaimAttempt, version: RowVersion): void {
  const { key, record } = attempt;
  const handle: ClaimHandle = {
    key, nonce: record.nonce, version, fingerprint: record.fingerprint, claimedAt: record.claimedAt,
  };
  attempt.settle(ok({ kind: 'granted', handle }));
}

function resolveExistingClaim(
  attempt: ClaimAttempt,
  existing: ClaimRecord,
  version: RowVersion,
): Result<ClaimOutcome, ServingError> {
  if (existing.nonce === attempt.record.nonce) {
    const { key, record } = attempt;
    return ok({
      kind: 'granted',
      handle: {
        key, nonce: record.nonce, version, fingerprint: record.fingerprint, claimedAt: record.claimedAt,
      },
    });
  }
  if (existing.fingerprint !== attempt.record.fingerprint) {
    return err(new ServingError(
      'another request has used this Idempotency-Key',
      { kind: 'idempotency-key-reused' },
    ));
  }
  if (existing.state === 'completed' && existing.answer !== null) {
    return ok({ kind: 'completed', answer: existing.answer });
  }
  return err(new ServingError(
    'a call with this Idempotency-Key has begun and its answer is not known here',
    { kind: 'idempotency-key-in-progress' },
  ));
}

/** Dependencies of a `ClaimStore`. */
interface ClaimStoreOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly entry: EntryId;
}

/**
 * Claims of calls that run at most once, with group commit: claims that arrive while a
 * transaction is in flight are queued and committed together in the next one.
 *
 * Invariants: a claim is granted to one nonce only and is never taken over; a refused
 * claim was not granted to this process, or is released in the background.
 */
export default class ClaimStore {
  readonly #options: ClaimStoreOptions;

  readonly #releaser: ClaimReleaser;

  #waiting: ClaimAttempt[] = [];

  #committing = false;

  constructor(options: ClaimStoreOptions) {
    this.#options = options;
    this.#releaser = new ClaimReleaser(options.store);
  }

  /**
   * Claims a call. Errors: `idempotency-key-in-progress`, `idempotency-key-reused`,
   * `store-unavailable` (not granted, or released again).
   */
  claim(
    key: string,
    fingerprint: string,
    timeoutMilliseconds: number,
  ): ResultAsync<ClaimOutcome, ServingError> {
    const { clock, entry } = this.#options;
    const record: ClaimRecord = {
      nonce: createNonce(),
      state: 'claimed',
      fingerprint,
      entry,
      claimedAt: clock.now().toISOString(),
      answer: null,
    };
    const deadlineMilliseconds = clock.monotonicMilliseconds() + timeoutMilliseconds;
    const settled = new Promise<Result<ClaimOutcome, ServingError>>((settle) => {
      this.#enqueue({
        key, record, replacedVersion: RowVersion.parse(0), mayBeWritten: false, deadlineMilliseconds, settle,
      });
    });
    return new ResultAsync(settled);
  }

  /** Releases a claim whose call was not sent. Returns at once; the row is written in the background. */
  release(handle: ClaimHandle): void {
    this.#releaser.release(handle.key, {
      nonce: handle.nonce,
      state: 'released',
      fingerprint: handle.fingerprint,
      entry: this.#options.entry,
      claimedAt: handle.claimedAt,
      answer: null,
    });
  }

  /** Stores the answer of a completed call for later calls with the same key. */
  async complete(handle: ClaimHandle, answer: StoredAnswer): Promise<void> {
    const record: ClaimRecord = {
      nonce: handle.nonce,
      state: 'completed',
      fingerprint: handle.fingerprint,
      entry: this.#options.entry,
      claimedAt: handle.claimedAt,
      answer,
    };
    let backoffMilliseconds = FIRST_COMPLETE_RETRY_MILLISECONDS;
    for (let attempt = 0; attempt < MAXIMUM_COMPLETE_ATTEMPTS; attempt += 1) {
      const outcome = await this.#options.store.commit({
        conditions: [{ table: TABLE_NAMES.claims, key: handle.key, version: handle.version }],
        writes: [{ table: TABLE_NAMES.claims, key: handle.key, value: record }],
      });
      // A conflict after a lost answer means that the earlier commit took effect.
      if (outcome.isOk()) {
        return;
      }
      const delayMilliseconds = backoffMilliseconds;
      await new Promise((resolve) => {
        setTimeout(resolve, delayMilliseconds).unref();
      });
      backoffMilliseconds *= 2;
    }
  }

  #enqueue(attempt: ClaimAttempt): void {
    this.#waiting.push(attempt);
    if (!this.#committing) {
      this.#committing = true;
      // Claims made in the same turn of the event loop share one transaction.
      setImmediate(() => {
        void this.#drain();
      });
    }
  }

  async #drain(): Promise<void> {
    while (this.#waiting.length > 0) {
      await this.#commitBatch(this.#takeBatch());
    }
    this.#committing = false;
  }

  /** Removes the next attempts from the queue in order, at most one per key. */
  #takeBatch(): readonly ClaimAttempt[] {
    const batch = new Map<string, ClaimAttempt>();
    const rest: ClaimAttempt[] = [];
    this.#waiting.forEach((attempt) => {
      if (batch.size < MAXIMUM_CLAIMS_PER_BATCH && !batch.has(attempt.key)) {
        batch.set(attempt.key, attempt);
      } else {
        rest.push(attempt);
      }
    });
    this.#waiting = rest;
    return [...batch.values()];
  }

  async #commitBatch(batch: readonly ClaimAttempt[]): Promise<void> {
    const pending = batch.filter((attempt) => !this.#refuseIfExpired(attempt));
    if (pending.length === 0) {
      return;
    }
    const outcome = await this.#options.store.commit({
      conditions: pending.map(({ key, replacedVersion }) => ({
        table: TABLE_NAMES.claims, key, version: replacedVersion,
      })),
      writes: pending.map(({ key, record }) => ({ table: TABLE_NAMES.claims, key, value: record })),
    });
    if (outcome.isErr()) {
      await this.#settleFailure(pending, outcome.error);
      return;
    }
    if (outcome.value.kind === 'committed') {
      const { version } = outcome.value;
      pending.forEach((attempt) => grant(attempt, version));
      return;
    }
    const conflicts = new Map(outcome.value.rows.map((row) => [row.key, row]));
    pending.forEach((attempt) => this.#settleConflict(attempt, conflicts.get(attempt.key)));
  }

  #refuseIfExpired(attempt: ClaimAttempt): boolean {
    if (this.#options.clock.monotonicMilliseconds() < attempt.deadlineMilliseconds) {
      return false;
    }
    this.#refuse(attempt, new ServingError('claim was not written in time', { kind: 'store-unavailable' }));
    return true;
  }

  /** Refuses a claim. A row that may have been written is released in the background. */
  #refuse(attempt: ClaimAttempt, error: ServingError): void {
    if (attempt.mayBeWritten) {
      this.#releaser.release(attempt.key, { ...attempt.record, state: 'released' });
    }
    attempt.settle(err(error));
  }

  /** Settles an attempt by its row, or queues it again if the row did not conflict or may be claimed. */
  #settleConflict(attempt: ClaimAttempt, row: TableRow | undefined): void {
    if (row === undefined) {
      this.#waiting.push(attempt);
      return;
    }
    const existing = ClaimRecord.safeParse(row.value);
    if (row.version === 0 || (existing.success && existing.data.state === 'released')) {
      this.#waiting.push({ ...attempt, replacedVersion: row.version });
      return;
    }
    attempt.settle(existing.success
      ? resolveExistingClaim(attempt, existing.data, row.version)
      : err(new ServingError('claim row is malformed', { kind: 'idempotency-key-in-progress' })));
  }

  async #settleFailure(batch: readonly ClaimAttempt[], error: ServingError): Promise<void> {
    if (error.kind !== 'store-outcome-unknown') {
      batch.forEach((attempt) => this.#refuse(attempt, error));
      return;
    }
    const uncertain = batch.map((attempt) => ({ ...attempt, mayBeWritten: true }));
    const rows = await this.#options.store.read(
      uncertain.map(({ key }) => ({ table: TABLE_NAMES.claims, key })),
    );
    if (rows.isErr()) {
      const unresolved = new ServingError('claim could not be settled', { kind: 'store-unavailable' });
      uncertain.forEach((attempt) => this.#refuse(attempt, unresolved));
      return;
    }
    const byKey = new Map(rows.value.map((row) => [row.key, row]));
    uncertain.forEach((attempt) => this.#settleConflict(attempt, byKey.get(attempt.key)));
  }
}
