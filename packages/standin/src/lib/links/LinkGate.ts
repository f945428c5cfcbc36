import { Transform, type TransformCallback } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';

/** One direction of a connection: passes bytes on in order, holds them, or delays each piece. */
export default class LinkGate extends Transform {
  #delayMilliseconds = 0;

  #held = false;

  #release: (() => void) | null = null;

  /** Holds what comes until `pass`. */
  hold(): void {
    this.#held = true;
  }

  /** Passes on what was held and what comes, each piece after a delay. */
  pass(delayMilliseconds: number): void {
    this.#delayMilliseconds = delayMilliseconds;
    this.#held = false;
    this.#release?.();
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    this.#release?.();
    callback(error);
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, callback: TransformCallback): void {
    void this.#passChunk(chunk, callback);
  }

  async #passChunk(chunk: Buffer, callback: TransformCallback): Promise<void> {
    while (this.#held && !this.destroyed) {
      await new Promise<void>((resolve) => {
        this.#release = resolve;
      });
    }
    if (this.#delayMilliseconds > 0) {
      await sleep(this.#delayMilliseconds);
    }
    if (!this.destroyed) {
      callback(null, chunk);
    }
  }
}
