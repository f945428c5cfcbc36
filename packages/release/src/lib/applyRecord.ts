import { type ReleaseRecord, type ReleaseState, ServingError } from '@dandelionlane/core';
import { err, ok, type Result } from 'neverthrow';
import applyChange from './applyChange.js';
import RETAINED_SEQUENCES from './RETAINED_SEQUENCES.js';

/** Drops withdrawals that are older than any note that may still be accepted. */
function pruneWithdrawals(state: ReleaseState): ReleaseState {
  const oldest = state.sequence - RETAINED_SEQUENCES;
  return state.withdrawn.every(({ changedAt }) => changedAt > oldest)
    ? state
    : { ...state, withdrawn: state.withdrawn.filter(({ changedAt }) => changedAt > oldest) };
}

/**
 * Applies the next record of the log to the state. The record was validated when it was
 * published and is not validated again, so every reader derives the same state from the log.
 *
 * A record that is already applied is ignored: the result is the same state object.
 *
 * Errors: `message-invalid` if records between the state and this one are missing.
 */
export default function applyRecord(
  state: ReleaseState,
  record: ReleaseRecord,
): Result<ReleaseState, ServingError> {
  if (record.sequence <= state.sequence) {
    return ok(state);
  }
  if (record.sequence > state.sequence + 1) {
    return err(new ServingError(
      `change ${record.sequence} does not follow change ${state.sequence}`,
      { kind: 'message-invalid' },
    ));
  }
  const { sequence, change } = record;
  return ok(pruneWithdrawals({ ...state, ...applyChange(state, change, sequence), sequence }));
}
