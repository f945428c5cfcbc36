import { ServingError } from '@dandelionlane/core';
import { findDuplicateNames, parseReleaseNoteDraft, type ReleaseNoteDraft } from '@dandelionlane/release';
import {
  err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';
import readFileText from './readFileText.js';

function checkDuplicates(draft: ReleaseNoteDraft, fileName: string): Result<ReleaseNoteDraft, ServingError> {
  const faults = findDuplicateNames(draft).map((fault) => `${fileName}: ${fault}`);
  return faults.length === 0
    ? ok(draft)
    : err(new ServingError(faults.join('\n'), { kind: 'release-invalid' }));
}

/**
 * Reads a release note file and runs the checks that need no release state.
 *
 * Failures: `usage` for a file that cannot be read, `refused` for one that is invalid.
 */
export default function readDraft(fileName: string): ResultAsync<ReleaseNoteDraft, Failure> {
  return readFileText(fileName).andThen((text) => (
    parseReleaseNoteDraft(text, fileName)
      .andThen((draft) => checkDuplicates(draft, fileName))
      .mapErr(({ message }) => ({ exitCode: EXIT_CODES.refused, message }))
  ));
}
