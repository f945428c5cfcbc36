import {
  type ReleaseChange, type ReleaseState, type ServingError,
} from '@dandelionlane/core';
import { ok, type Result } from 'neverthrow';
import validateNote from './validateNote.js';

/**
 * Decides whether a change may follow the state. It is accepted whole or refused whole.
 *
 * Take-out and bring-back are idempotent: of two concurrent take-outs of one availability
 * zone, both are accepted. Of a take-out and a bring-back, the later one in the log wins.
 *
 * Errors: `release-invalid` for a note that adds what exists, changes or withdraws what
 * does not, names a service or a team twice, or is written against a sequence in the
 * future. `release-conflict` for a note that names what another change touched after
 * `writtenAgainst`, with every such service and sequence, or that is too old to compare.
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
