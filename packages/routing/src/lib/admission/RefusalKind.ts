import type { ErrorKind } from '@dandelionlane/core';

/** The error kinds of refused requests. */
type RefusalKind = Extract<ErrorKind, 'overloaded' | 'team-over-share' | 'deadline-unreachable'>;

export default RefusalKind;
