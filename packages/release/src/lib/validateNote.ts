import {
  type ErrorKind, type ReleaseNote, type ReleaseState, ServingError,
} from '@dandelionlane/core';
import { err, ok, type Result } from 'neverthrow';
import findConflicts from './findConflicts.js';
import findExistenceIssues from './findExistenceIssues.js';
import findDuplicateNames from './findDuplicateNames.js';
import RETAINED_SEQUENCES from './RETAINED_SEQUENCES.js';

function refuseIfAny(
  note: ReleaseNote,
  issues: readonly string[],
  kind: ErrorKind,
): Result<ReleaseNote, ServingError> {
  return issues.length === 0 ? ok(note) : err(new ServingError(issues.join('; '), { kind }));
}

function findFutureIssues(state: ReleaseState, note: ReleaseNote): readonly string[] {
  return note.writtenAgainst > state.sequence
    ? [`the note is written against ${note.writtenAgainst}, the latest change is ${state.sequence}`]
    : [];
}

function findAgeIssues(state: ReleaseState, note: ReleaseNote): readonly string[] {
  const oldest = state.sequence - RETAINED_SEQUENCES;
  return note.writtenAgainst < oldest
    ? [`the note is written against ${note.writtenAgainst}, changes are compared back to ${oldest} only`]
    : [];
}

/**
 * Checks a note against the state. Conflicts are checked before existence, so that adding a
 * service that another note has just added is reported as a lost race, not as an invalid note.
 */
export default function validateNote(
  state: ReleaseState,
  note: ReleaseNote,
): Result<ReleaseNote, ServingError> {
  const noteIssues = [...findDuplicateNames(note), ...findFutureIssues(state, note)];
  return refuseIfAny(note, noteIssues, 'release-invalid')
    .andThen(() => refuseIfAny(note, findAgeIssues(state, note), 'release-conflict'))
    .andThen(() => refuseIfAny(note, findConflicts(state, note), 'release-conflict'))
    .andThen(() => refuseIfAny(note, findExistenceIssues(state, note), 'release-invalid'));
}
