import type { ErrorKind } from '@dandelionlane/core';

/** The error kinds with which an attempt at a target fails. */
type FailureCause = Extract<
  ErrorKind,
  'target-refused' | 'target-lost' | 'target-timeout' | 'replica-not-whole'
>;

export default FailureCause;
