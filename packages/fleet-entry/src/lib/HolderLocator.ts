import type { Clock, RandomSource } from '@dandelionlane/core';

/**
 * Time without a link and without an answer of the store after which other entries are tried in search
 * of the holder of the lease, in ms: two pauses between reads of the lease.
 */
const SEARCH_DELAY_MILLISECONDS = 1_000;

/** Time for which a redirect by another entry is followed, in ms: several connection attempts. */
const REDIRECT_LIFETIME_MILLISECONDS = 2_000;

/** State from which a `HolderLocator` chooses an address. */
interface LocatorState {
  /** Address on which the holder of the lease listens; null if unknown. */
  readonly holderAddress: string | null;
  /** Addresses on which all other entries listen. */
  readonly otherAddresses: readonly string[];
  /** Whether the link to the holder is up. */
  readonly isLinked: boolean;
  /** Whether there is an established or pending connection. */
  readonly hasConnection: boolean;
  /** Time since the store last answered, in ms. */
  readonly storeAgeMilliseconds: number;
}

/**
 * Chooses the address at which to look for the holder of the lease. An entry that the store rejects
 * cannot read who the new holder is, so the other entries redirect it.
 */
export default class HolderLocator {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  #address: string | null = null;

  #redirect: string | null = null;

  #redirectedAt = Number.NEGATIVE_INFINITY;

  #lastLinkedAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock, random: RandomSource) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Records the address of the holder as reported by another entry. */
  recordRedirect(address: string): void {
    this.#redirect = address;
    this.#redirectedAt = this.#clock.monotonicMilliseconds();
  }

  /** Returns the address to link to, or null if none is known. */
  locate(state: LocatorState): string | null {
    const {
      holderAddress, otherAddresses, isLinked, hasConnection, storeAgeMilliseconds,
    } = state;
    const now = this.#clock.monotonicMilliseconds();
    if (isLinked) {
      this.#lastLinkedAt = now;
    } else if (now - this.#lastLinkedAt <= SEARCH_DELAY_MILLISECONDS
      || storeAgeMilliseconds <= SEARCH_DELAY_MILLISECONDS) {
      this.#address = holderAddress;
    } else if (!hasConnection) {
      this.#address = this.#freshRedirect(now)
        ?? this.#pickRandom([...holderAddress === null ? [] : [holderAddress], ...otherAddresses]);
    }
    return this.#address;
  }

  #freshRedirect(now: number): string | null {
    return now - this.#redirectedAt < REDIRECT_LIFETIME_MILLISECONDS ? this.#redirect : null;
  }

  #pickRandom(addresses: readonly string[]): string | null {
    return addresses[Math.floor(this.#random.next() * addresses.length)] ?? null;
  }
}
