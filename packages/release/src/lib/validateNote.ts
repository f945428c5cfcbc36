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
  faults: readonly string[],
  kind: ErrorKind,
): Result<ReleaseNote, ServingError> {
  return faults.length === 0 ? ok(note) : err(new ServingError(faults.join('; '), { kind }));
}

function findFutureFaults(state: ReleaseState, note: ReleaseNote): readonly string[] {
  return note.writtenAgainst > state.sequence
    ? [`the note is written against ${note.writtenAgainst}, the latest change is ${state.sequence}`]
    : [];
}

function findAgeFaults(state: ReleaseState, note: ReleaseNote): readonly string[] {
  const oldest = state.sequence - RETAINED_SEQUENCES;
  return note.writtenAgainst < oldest
    ? [`the note is written against ${note.writtenAgainst}, changes are compared back to ${oldest} only`]
    : [];
}

/**
 * Checks a note against the state. Conflicts go before existence: who adds a service
 * that another note added meanwhile has lost a race and made no mistake.
 */
export default function validateNote(
  state: ReleaseState,
  note: ReleaseNote,
): Result<ReleaseNote, ServingError> {
  const mistakes = [...findDuplicateNames(note), ...findFutureFaults(state, note)];
  return refuseIfAny(note, mistakes, 'release-invalid')
    .andThen(() => refuseIfAny(note, findAgeFaults(state, note), 'release-conflict'))
    .andThen(() => refuseIfAny(note, findConflicts(state, note), 'release-conflict'))
    .andThen(() => refuseIfAny(note, findExistenceIssues(state, note), 'release-invalid'));
}
