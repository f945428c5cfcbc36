import { ManualClock } from '@dandelionlane/core';
import type { Terminal } from '../index.js';

/** Terminal that records its output; its clock advances only by `sleep`. */
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
