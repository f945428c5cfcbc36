import type { ErrorKind } from '@dandelionlane/core';
import mayHaveRun from './mayHaveRun.js';
import type RetryInput from './RetryInput.js';

/**
 * The error kind returned to the caller. Invariant: its outcome is `not-run` only if no
 * attempt of the request can have run.
 */
export default function giveUpError(input: RetryInput): ErrorKind {
  if (!input.mayHaveRunBefore && !mayHaveRun(input.progress)) {
    return 'target-refused';
  }
  return input.cause === 'target-refused' ? 'target-lost' : input.cause;
}
