import type { ErrorKind } from '@dandelionlane/core';

/** The error kinds of a failed attempt. */
type FailureCause = Extract<
  ErrorKind,
  'target-refused' | 'target-lost' | 'target-timeout' | 'replica-not-whole'
>;

export default FailureCause;
