import {
  ReleaseRecord, ReleaseSequence, ServingError, type TableTransaction, type TransactionOutcome,
} from '@dandelionlane/core';
import {
  err, ok, type Result,
} from 'neverthrow';
import ABSENT_ROW_VERSION from './ABSENT_ROW_VERSION.js';
import applyRecord from './applyRecord.js';
import changeRow from './changeRow.js';
import compactReleaseLog from './compactReleaseLog.js';
import catchUpWithLog from './catchUpWithLog.js';
import HEAD_ROW from './HEAD_ROW.js';
import type LoadedRelease from './LoadedRelease.js';
import type Publication from './Publication.js';
import type PublishDependencies from './PublishDependencies.js';
import type PublishStep from './PublishStep.js';
import SNAPSHOT_INTERVAL from './SNAPSHOT_INTERVAL.js';
import createUnknownOutcomeError from './createUnknownOutcomeError.js';
import validateChange from './validateChange.js';

function finish(result: Result<ReleaseSequence, ServingError>): PublishStep {
  return { kind: 'finished', result };
}

function retry(publication: Publication): PublishStep {
  return { kind: 'retry', publication };
}

/** Ends the publication with the store error, or as unknown if an earlier attempt may have committed. */
function finishWithStoreError(publication: Publication, error: ServingError): PublishStep {
  return finish(err(publication.isOutcomeUnknown ? createUnknownOutcomeError() : error));
}

function buildTransaction(
  dependencies: PublishDependencies,
  publication: Publication,
  loaded: LoadedRelease,
): { record: ReleaseRecord; transaction: TableTransaction } {
  const sequence = ReleaseSequence.parse(loaded.state.sequence + 1);
  const record: ReleaseRecord = {
    sequence,
    nonce: publication.nonce,
    publishedAt: dependencies.clock.now().toISOString(),
    change: publication.change,
  };
  const conditions = [
    { ...HEAD_ROW, version: loaded.head.version },
    { ...changeRow(sequence), version: ABSENT_ROW_VERSION },
  ];
  const writes = [{ ...HEAD_ROW, value: { sequence } }, { ...changeRow(sequence), value: record }];
  return { record, transaction: { conditions, writes } };
}

/** Reports success. If writing the snapshot fails, the next interval writes it. */
async function finishCommitted(
  { store }: PublishDependencies,
  { state }: LoadedRelease,
  record: ReleaseRecord,
): Promise<PublishStep> {
  if (record.sequence % SNAPSHOT_INTERVAL === 0) {
    await applyRecord(state, record).asyncAndThen((next) => compactReleaseLog(store, next));
  }
  return finish(ok(record.sequence));
}

async function commitChange(
  dependencies: PublishDependencies,
  publication: Publication,
  loaded: LoadedRelease,
): Promise<PublishStep> {
  const { record, transaction } = buildTransaction(dependencies, publication, loaded);
  const committed = await dependencies.store.commit(transaction);
  if (committed.isErr()) {
    // Any other error may have occurred after the write, so the outcome is unknown.
    return committed.error.kind === 'store-unavailable'
      ? finishWithStoreError(publication, committed.error)
      : retry({ ...publication, isOutcomeUnknown: true });
  }
  return committed.value.kind === 'committed'
    ? finishCommitted(dependencies, loaded, record)
    : retry(publication);
}

/**
 * Refuses the change only if the head is still current. A conditional transaction without
 * writes verifies that validation did not use a stale read.
 */
async function confirmRefusal(
  { store }: PublishDependencies,
  publication: Publication,
  loaded: LoadedRelease,
  refusal: ServingError,
): Promise<PublishStep> {
  const confirmed = await store.commit({
    conditions: [{ ...HEAD_ROW, version: loaded.head.version }], writes: [],
  });
  const toStep = ({ kind }: TransactionOutcome) => (
    kind === 'committed' ? finish(err(refusal)) : retry(publication)
  );
  return confirmed.match(toStep, ({ message }) => (
    finishWithStoreError(publication, new ServingError(message, { kind: 'store-unavailable' }))
  ));
}

/** Validates the change against the loaded state, which has caught up with the head as read, and commits. */
async function validateAndCommit(
  dependencies: PublishDependencies,
  publication: Publication,
  loaded: LoadedRelease,
): Promise<PublishStep> {
  const valid = validateChange(loaded.state, publication.change);
  return valid.isErr()
    ? confirmRefusal(dependencies, publication, loaded, valid.error)
    : commitChange(dependencies, publication, loaded);
}

/**
 * Moves the publication to the newly loaded state. Once another publication's record
 * follows the previous state, no earlier attempt can still commit: each was conditioned on
 * the head that this record replaced.
 */
function advance(publication: Publication, { state }: LoadedRelease): Publication {
  const hasAdvanced = state.sequence > publication.state.sequence;
  return { ...publication, state, isOutcomeUnknown: publication.isOutcomeUnknown && !hasAdvanced };
}

/** Makes one attempt: checks whether an earlier one committed, else validates and commits the change. */
export default async function attemptPublish(
  dependencies: PublishDependencies,
  publication: Publication,
): Promise<PublishStep> {
  const caughtUp = await catchUpWithLog(dependencies.store, publication.state);
  if (caughtUp.isErr()) {
    return finishWithStoreError(publication, caughtUp.error);
  }
  const loaded = caughtUp.value;
  const ownRecord = loaded.records.find(({ nonce }) => nonce === publication.nonce);
  if (ownRecord !== undefined) {
    return finish(ok(ownRecord.sequence));
  }
  if (publication.isOutcomeUnknown && loaded.isFromSnapshot) {
    return finish(err(createUnknownOutcomeError()));
  }
  const next = advance(publication, loaded);
  return loaded.head.sequence === loaded.state.sequence
    ? validateAndCommit(dependencies, next, loaded)
    : retry(next);
}
