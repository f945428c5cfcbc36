import type { ErrorKind } from '@dandelionlane/core';
import mayHaveRun from './mayHaveRun.js';
import type RetryInput from './RetryInput.js';

/**
 * The error that a caller gets. Invariant: a kind whose outcome is `not-run` only if
 * no attempt of the request may have run.
 */
export default function giveUpError(input: RetryInput): ErrorKind {
  if (!input.mayHaveRunBefore && !mayHaveRun(input.progress)) {
    return 'target-refused';
  }
  return input.cause === 'target-refused' ? 'target-lost' : input.cause;
}
