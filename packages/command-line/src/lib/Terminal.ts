import type { Clock } from '@dandelionlane/core';

/** What a command needs of the world besides the entries. */
export default interface Terminal {
  /** Writes a line, or several, to the standard output. */
  writeLine(text: string): void;
  /** Writes a line, or several, to the standard error. */
  writeError(text: string): void;
  readonly clock: Clock;
  sleep(milliseconds: number): Promise<unknown>;
}
