import { ManualClock } from '@dandelionlane/core';
import type { Terminal } from '../index.js';

/** A terminal that keeps what is written, on a clock that only sleeping moves. */
export default class FakeTerminal implements Terminal {
  readonly clock = new ManualClock();

  readonly lines: string[] = [];

  readonly errors: string[] = [];

  writeLine(text: string): void {
    this.lines.push(text);
  }

  writeError(text: string): void {
    this.errors.push(text);
  }

  sleep(milliseconds: number): Promise<void> {
    this.clock.advance(milliseconds);
    return Promise.resolve();
  }
}
