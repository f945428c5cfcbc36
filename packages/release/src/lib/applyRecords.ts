import {
  type ReleaseRecord, type ReleaseState, type ServingError,
} from '@dandelionlane/core';
import { ok, type Result } from 'neverthrow';
import applyRecord from './applyRecord.js';

/** Applies records to a state in the given order. */
export default function applyRecords(
  state: ReleaseState,
  records: readonly ReleaseRecord[],
): Result<ReleaseState, ServingError> {
  return records.reduce<Result<ReleaseState, ServingError>>(
    (result, record) => result.andThen((current) => applyRecord(current, record)),
    ok(state),
  );
}
