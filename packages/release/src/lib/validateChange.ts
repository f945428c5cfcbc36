import {
  type ReleaseChange, type ReleaseState, type ServingError,
} from '@dandelionlane/core';
import { ok, type Result } from 'neverthrow';
import validateNote from './validateNote.js';

/**
 * Validates a change against the state. It is accepted or refused as a whole.
 *
 * Take-out and bring-back are idempotent: of two concurrent take-outs of one availability
 * zone, both are accepted. Of a take-out and a bring-back, the later one in the log wins.
 *
 * Errors: `release-invalid` for a note that adds an existing service, changes or withdraws
 * a missing one, names a service or a team twice, or is written against a future sequence.
 * `release-conflict` for a note with services or teams that another change modified after
 * `writtenAgainst`, listing each with its sequence, or for a note too old to compare.
 */
export default function validateChange(
  state: ReleaseState,
  change: ReleaseChange,
): Result<ReleaseChange, ServingError> {
  switch (change.kind) {
    case 'note':
      return validateNote(state, change.note).map(() => change);
    case 'take-out':
    case 'bring-back':
      return ok(change);
    default:
      return change satisfies never;
  }
}
