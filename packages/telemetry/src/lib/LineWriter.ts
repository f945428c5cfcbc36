import { write } from 'node:fs';

/** Bytes that wait to be written above which lines are dropped. */
const MAXIMUM_WAITING_BYTES = 256 * 1_024;

/** Delay within which lines are written together, in ms. */
const FLUSH_MILLISECONDS = 50;

/**
 * Writes lines to a file descriptor without ever blocking the caller. Lines that the reader is
 * too slow for are dropped, and their number is written as soon as it reads again.
 */
export default class LineWriter {
  readonly #descriptor: number;

  #waiting: string[] = [];

  #waitingBytes = 0;

  #dropped = 0;

  #writing = false;

  #scheduled = false;

  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  writeLine(text: string): void {
    if (this.#waitingBytes + text.length > MAXIMUM_WAITING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#waiting.push(text);
    this.#waitingBytes += text.length + 1;
    if (!this.#scheduled && !this.#writing) {
      this.#scheduled = true;
      setTimeout(() => this.#flush(), FLUSH_MILLISECONDS).unref();
    }
  }

  /** Writes what waits now. Resolves when it has been handed over, or could not be. */
  flush(): Promise<void> {
    return new Promise((resolve) => {
      this.#flush(resolve);
    });
  }

  #flush(done: () => void = () => undefined): void {
    this.#scheduled = false;
    if (this.#writing || this.#waiting.length === 0) {
      done();
      return;
    }
    const lines = this.#dropped === 0
      ? this.#waiting : [...this.#waiting, JSON.stringify({ part: 'telemetry', message: 'Log lines were dropped.', dropped: this.#dropped })];
    this.#dropped = 0;
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#write(Buffer.from(`${lines.join('\n')}\n`), done);
  }

  #write(data: Buffer, done: () => void): void {
    this.#writing = true;
    write(this.#descriptor, data, (error, written) => {
      this.#writing = false;
      if (error !== null && (error).code !== 'EAGAIN') {
        // Nobody reads the log any more: there is no other place to say so.
        done();
        return;
      }
      const rest = data.subarray(error === null ? written : 0);
      if (rest.length > 0) {
        setTimeout(() => this.#write(rest, done), FLUSH_MILLISECONDS).unref();
        this.#writing = true;
        return;
      }
      this.#flush(done);
    });
  }
}
