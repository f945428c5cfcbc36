import type { ServingError } from '@dandelionlane/core';
import { parseSettings } from '@dandelionlane/settings';
import type { Result } from 'neverthrow';
import ReleaseNoteDraft from './ReleaseNoteDraft.js';

/**
 * Parses a release note file that may omit `writtenAgainst`.
 *
 * Errors: `release-invalid`, with one line for each issue, `file:line:column path: what
 * was expected`.
 */
export default function parseReleaseNoteDraft(
  text: string,
  fileName: string,
): Result<ReleaseNoteDraft, ServingError> {
  return parseSettings(text, fileName, ReleaseNoteDraft, 'release-invalid');
}
