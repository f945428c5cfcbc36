import { hashText } from '@dandelionlane/core';
import countTokens from '../answers/countTokens.js';
import type CacheEvent from './CacheEvent.js';

const PREFIX_CHARACTERS = 64;
const CAPACITY = 64;

/** Cache of prompt prefixes with limited size; the least recently used goes first. */
export default class PrefixCache {
  // Insertion order is order of use: a hit is taken out and put back.
  readonly #prefixes = new Set<number>();

  readonly #onEvent: (event: Omit<CacheEvent, 'sequence'>) => void;

  constructor(onEvent: (event: Omit<CacheEvent, 'sequence'>) => void) {
    this.#onEvent = onEvent;
  }

  /** Uses the prompt's prefix. Returns how many tokens are still to be prefilled. */
  use(prompt: string): number {
    const text = prompt.slice(0, PREFIX_CHARACTERS);
    const prefix = hashText(text);
    const hit = this.#prefixes.delete(prefix);
    this.#prefixes.add(prefix);
    if (hit) {
      return countTokens(prompt) - countTokens(text);
    }
    this.#onEvent({ kind: 'stored', prefix });
    this.#evict();
    return countTokens(prompt);
  }

  clear(): void {
    this.#prefixes.clear();
  }

  #evict(): void {
    const [oldest] = this.#prefixes;
    if (this.#prefixes.size > CAPACITY && oldest !== undefined) {
      this.#prefixes.delete(oldest);
      this.#onEvent({ kind: 'evicted', prefix: oldest });
    }
  }
}
