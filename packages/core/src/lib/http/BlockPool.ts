/** Size of a block, in bytes. */
const BLOCK_BYTES = 64 * 1_024;

/** Free blocks that are kept: 16 MiB. */
const MAXIMUM_FREE_BLOCKS = 256;

/**
 * Blocks of memory that are used again. The garbage collector frees memory outside the heap only once 64 MB
 * of it are unused, which small machines do not have.
 */
export default class BlockPool {
  static readonly blockBytes = BLOCK_BYTES;

  readonly #free: Buffer[] = [];

  /** Takes a block, whose content is undefined. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Gives a block back, to which no reference may be left. */
  giveBack(block: Buffer): void {
    if (this.#free.length < MAXIMUM_FREE_BLOCKS) {
      this.#free.push(block);
    }
  }
}
