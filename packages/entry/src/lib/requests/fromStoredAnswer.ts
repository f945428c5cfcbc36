import { err, ok, type Result } from 'neverthrow';
import { ServingError } from '@dandelionlane/core';
import type { StoredAnswer } from '@dandelionlane/platform';
import type ReplayedAnswer from './ReplayedAnswer.js';

/**
 * Restores a stored answer for a later call with the same idempotency key. Error:
 * `answer-too-large` if the body was too large to be stored.
 */
export default function fromStoredAnswer(
  { status, contentType, bodyBase64 }: StoredAnswer,
): Result<ReplayedAnswer, ServingError> {
  if (bodyBase64 === null) {
    return err(new ServingError(
      `the call ran with status ${status}; its answer was too large to be kept`,
      { kind: 'answer-too-large' },
    ));
  }
  return ok({
    head: { status, headers: { 'content-type': contentType } },
    body: Buffer.from(bodyBase64, 'base64'),
  });
}
