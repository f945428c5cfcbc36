import BlockPool from './BlockPool.js';

/** Size of the first block; further ones grow with the body up to the size of blocks of the pool. */
const SMALLEST_BLOCK_BYTES = 1_024;

/** Part of the body. */
interface Block {
  readonly buffer: Buffer;
  used: number;
}

/**
 * Collects the bytes of a body in few buffers, however it is chunked: a buffer of its own for each chunk
 * takes a hundred bytes and more, which is many times the body where chunks are small.
 */
export default class BodyBuffer {
  readonly #pool: BlockPool;

  /** The first chunk, which is not copied, as most bodies come in one. */
  #first: Buffer | null = null;

  #blocks: Block[] = [];

  #size = 0;

  #allocatedBytes = 0;

  constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  /** Bytes of the body. */
  get size(): number {
    return this.#size;
  }

  /** Bytes that it holds in memory, with the unused rest of a block. */
  get allocatedBytes(): number {
    return this.#allocatedBytes;
  }

  /** Number of buffers that it holds. */
  get buffers(): number {
    return this.#blocks.length + (this.#first === null ? 0 : 1);
  }

  push(chunk: Buffer): void {
    if (this.#first === null) {
      this.#first = chunk;
      this.#allocatedBytes = chunk.length;
    } else {
      this.#copy(chunk);
    }
    this.#size += chunk.length;
  }

  /** The body in one buffer of its own. */
  toBuffer(): Buffer {
    if (this.#first !== null && this.#blocks.length === 0) {
      return this.#first;
    }
    const parts = this.#blocks.map(({ buffer, used }) => buffer.subarray(0, used));
    return Buffer.concat(this.#first === null ? parts : [this.#first, ...parts], this.#size);
  }

  /** Releases all bytes. */
  clear(): void {
    this.#blocks.filter(({ buffer }) => buffer.length === BlockPool.blockBytes)
      .forEach(({ buffer }) => this.#pool.giveBack(buffer));
    this.#first = null;
    this.#blocks = [];
    this.#size = 0;
    this.#allocatedBytes = 0;
  }

  #copy(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const block = this.#openBlock(this.#size + chunk.length);
      const end = Math.min(chunk.length, copied + block.buffer.length - block.used);
      chunk.copy(block.buffer, block.used, copied, end);
      block.used += end - copied;
      copied = end;
    }
  }

  /** The last block if it is not full, or another one, of a size that fits a body of `bodyBytes`. */
  #openBlock(bodyBytes: number): Block {
    const last = this.#blocks.at(-1);
    if (last !== undefined && last.used < last.buffer.length) {
      return last;
    }
    // Half of a block of the pool would be as large as the body itself.
    const buffer = bodyBytes >= BlockPool.blockBytes / 2
      ? this.#pool.take() : Buffer.allocUnsafeSlow(Math.max(SMALLEST_BLOCK_BYTES, bodyBytes));
    const block = { buffer, used: 0 };
    this.#blocks.push(block);
    this.#allocatedBytes += buffer.length;
    return block;
  }
}
