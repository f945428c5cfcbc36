import { write } from 'node:fs';

/** Limit of buffered bytes above which lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1_024;

/** Delay during which lines are collected into one write. */
const FLUSH_DELAY_MILLISECONDS = 50;

/**
 * Writes lines to a file descriptor without ever blocking the caller. If the reader is too slow,
 * lines are dropped, and their number is logged with the next write.
 */
export default class LineWriter {
  readonly #descriptor: number;

  #bufferedLines: string[] = [];

  #bufferedBytes = 0;

  #droppedLines = 0;

  #isWriting = false;

  #isFlushScheduled = false;

  /** Callbacks of flushes that began during a write. */
  #waiting: (() => void)[] = [];

  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  writeLine(text: string): void {
    if (this.#bufferedBytes + text.length > MAXIMUM_BUFFERED_BYTES) {
      this.#droppedLines += 1;
      return;
    }
    this.#bufferedLines.push(text);
    this.#bufferedBytes += text.length + 1;
    if (!this.#isFlushScheduled && !this.#isWriting) {
      this.#isFlushScheduled = true;
      setTimeout(() => this.#flush(), FLUSH_DELAY_MILLISECONDS).unref();
    }
  }

  /**
   * Writes the buffered lines now, after those of a write that is running. Resolves once they are written
   * or a write has failed.
   */
  flush(): Promise<void> {
    return new Promise((resolve) => {
      this.#flush(resolve);
    });
  }

  #flush(done: () => void = () => undefined): void {
    this.#isFlushScheduled = false;
    if (this.#isWriting) {
      this.#waiting.push(done);
      return;
    }
    if (this.#bufferedLines.length === 0) {
      this.#settle(done);
      return;
    }
    const lines = this.#droppedLines === 0
      ? this.#bufferedLines : [...this.#bufferedLines, JSON.stringify({ part: 'telemetry', message: 'Log lines were dropped.', dropped: this.#droppedLines })];
    this.#droppedLines = 0;
    this.#bufferedLines = [];
    this.#bufferedBytes = 0;
    this.#write(Buffer.from(`${lines.join('\n')}\n`), done);
  }

  #write(data: Buffer, done: () => void): void {
    this.#isWriting = true;
    write(this.#descriptor, data, (error, written) => {
      this.#isWriting = false;
      if (error !== null && (error).code !== 'EAGAIN') {
        // The log has no reader any more, and there is nowhere else to report that.
        this.#settle(done);
        return;
      }
      const rest = data.subarray(error === null ? written : 0);
      if (rest.length > 0) {
        setTimeout(() => this.#write(rest, done), FLUSH_DELAY_MILLISECONDS).unref();
        this.#isWriting = true;
        return;
      }
      this.#flush(done);
    });
  }

  /** Ends a flush, and those that waited for it. */
  #settle(done: () => void): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    done();
    waiting.forEach((resolve) => resolve());
  }
}
