import type { Clock } from '@dandelionlane/core';

/** Output streams, clock and timer that a command uses. */
export default interface Terminal {
  /** Writes one or more lines to the standard output. */
  writeLine(text: string): void;
  /** Writes one or more lines to the standard error. */
  writeError(text: string): void;
  readonly clock: Clock;
  sleep(milliseconds: number): Promise<unknown>;
}
