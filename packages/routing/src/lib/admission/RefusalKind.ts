import type { ErrorKind } from '@dandelionlane/core';

/** The error kinds with which admission refuses. */
type RefusalKind = Extract<ErrorKind, 'overloaded' | 'team-over-share' | 'deadline-unreachable'>;

export default RefusalKind;
