import { ReleaseNote, type ServingError } from '@dandelionlane/core';
import { parseSettings } from '@dandelionlane/settings';
import type { Result } from 'neverthrow';

/**
 * Parses a release note: JSON with comments.
 *
 * Errors: `release-invalid`, with one line for each issue, `file:line:column path: what
 * was expected`.
 */
export default function parseReleaseNote(text: string, fileName: string): Result<ReleaseNote, ServingError> {
  return parseSettings(text, fileName, ReleaseNote, 'release-invalid');
}
