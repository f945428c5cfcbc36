import type JournalDocument from './JournalDocument.js';
import type JournalRun from './JournalRun.js';

/** Record of what ran on one VM. It outlives the VM's incarnations. */
export default class Journal {
  readonly #runs: JournalRun[] = [];

  #maximumRunningWhileCold = 0;

  #fellOver = 0;

  begin(run: JournalRun): void {
    this.#runs.push(run);
  }

  noteRunningWhileCold(running: number): void {
    this.#maximumRunningWhileCold = Math.max(this.#maximumRunningWhileCold, running);
  }

  noteFellOver(): void {
    this.#fellOver += 1;
  }

  toDocument(): JournalDocument {
    return {
      runs: this.#runs.map((run) => ({ ...run })),
      maximumRunningWhileCold: this.#maximumRunningWhileCold,
      fellOver: this.#fellOver,
    };
  }
}
