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

function tryAgain(publication: Publication): PublishStep {
  return { kind: 'again', publication };
}

/** A store error ends the publication; what an earlier attempt left unknown stays unknown. */
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

/** The change is accepted. A snapshot that fails here is written at the next interval. */
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
    // Any other error may have come after the write, so it counts as a lost answer.
    return committed.error.kind === 'store-unavailable'
      ? finishWithStoreError(publication, committed.error)
      : tryAgain({ ...publication, isOutcomeUnknown: true });
  }
  return committed.value.kind === 'committed'
    ? finishCommitted(dependencies, loaded, record)
    : tryAgain(publication);
}

/**
 * A refusal counts only against the head as it is now. A transaction that writes
 * nothing confirms that the state it was decided on was not read stale.
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
    kind === 'committed' ? finish(err(refusal)) : tryAgain(publication)
  );
  return confirmed.match(toStep, ({ message }) => (
    finishWithStoreError(publication, new ServingError(message, { kind: 'store-unavailable' }))
  ));
}

/** Validates against the loaded state, which is up to the head as read, and commits. */
async function decide(
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
 * The publication after a fresh look at the log. If the log has moved on and the next
 * record is another's, no attempt made so far can take effect any more, as each was
 * conditioned on the head that the record has replaced.
 */
function advance(publication: Publication, { state }: LoadedRelease): Publication {
  const hasMoved = state.sequence > publication.state.sequence;
  return { ...publication, state, isOutcomeUnknown: publication.isOutcomeUnknown && !hasMoved };
}

/** One attempt: looks whether an earlier one took effect, then validates and commits. */
export default async function attemptPublish(
  dependencies: PublishDependencies,
  publication: Publication,
): Promise<PublishStep> {
  const followed = await catchUpWithLog(dependencies.store, publication.state);
  if (followed.isErr()) {
    return finishWithStoreError(publication, followed.error);
  }
  const loaded = followed.value;
  const own = loaded.records.find(({ nonce }) => nonce === publication.nonce);
  if (own !== undefined) {
    return finish(ok(own.sequence));
  }
  if (publication.isOutcomeUnknown && loaded.isFromSnapshot) {
    return finish(err(createUnknownOutcomeError()));
  }
  const next = advance(publication, loaded);
  return loaded.head.sequence === loaded.state.sequence
    ? decide(dependencies, next, loaded)
    : tryAgain(next);
}
