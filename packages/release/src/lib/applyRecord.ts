import { type ReleaseRecord, type ReleaseState, ServingError } from '@dandelionlane/core';
import { err, ok, type Result } from 'neverthrow';
import applyChange from './applyChange.js';
import RETAINED_SEQUENCES from './RETAINED_SEQUENCES.js';

/** Forgets withdrawals that are too old for any note to be compared with. */
function forgetOldWithdrawals(state: ReleaseState): ReleaseState {
  const oldest = state.sequence - RETAINED_SEQUENCES;
  return state.withdrawn.every(({ changedAt }) => changedAt > oldest)
    ? state
    : { ...state, withdrawn: state.withdrawn.filter(({ changedAt }) => changedAt > oldest) };
}

/**
 * The state after the next record of the log. The record was validated when it was
 * published and is not validated again: every reader folds the log to the same state.
 *
 * A record that the state already holds is ignored; the answer is the same state.
 *
 * Errors: `message-invalid` when records between the state and this one are missing.
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
  return ok(forgetOldWithdrawals({ ...state, ...applyChange(state, change, sequence), sequence }));
}
