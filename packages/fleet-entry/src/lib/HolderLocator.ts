import type { Clock, RandomSource } from '@dandelionlane/core';

/**
 * Time without link and without answer of the store after which other entries are asked who holds
 * the lease, in ms: two pauses between readings of the lease.
 */
const SEARCH_MILLISECONDS = 1_000;

/** Time for which what another entry said is followed, in ms: several attempts to link. */
const REDIRECT_MILLISECONDS = 2_000;

/** What a `HolderSearch` goes by. */
interface Situation {
  /** Where the holder of the lease listens, as far as it is known. */
  readonly holderAddress: string | null;
  /** Where all other entries listen. */
  readonly otherAddresses: readonly string[];
  /** Whether the link to the holder works. */
  readonly isLinked: boolean;
  /** Whether there is a connection, or one is being made. */
  readonly hasConnection: boolean;
  /** Time since the store last answered, in ms. */
  readonly storeAgeMilliseconds: number;
}

/**
 * Tells where to look for the holder of the lease. An entry that the store turns away cannot read
 * of a new holder: the other entries tell it.
 */
export default class HolderLocator {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  #address: string | null = null;

  #redirect: string | null = null;

  #redirectedAt = Number.NEGATIVE_INFINITY;

  #linkedAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock, random: RandomSource) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Another entry has named the holder's address. */
  recordRedirect(address: string): void {
    this.#redirect = address;
    this.#redirectedAt = this.#clock.monotonicMilliseconds();
  }

  /** The address to link to, or null where none is known. */
  locate(situation: Situation): string | null {
    const {
      holderAddress, otherAddresses, isLinked, hasConnection, storeAgeMilliseconds,
    } = situation;
    const now = this.#clock.monotonicMilliseconds();
    if (isLinked) {
      this.#linkedAt = now;
    } else if (now - this.#linkedAt <= SEARCH_MILLISECONDS || storeAgeMilliseconds <= SEARCH_MILLISECONDS) {
      this.#address = holderAddress;
    } else if (!hasConnection) {
      this.#address = this.#freshRedirect(now)
        ?? this.#pick([...holderAddress === null ? [] : [holderAddress], ...otherAddresses]);
    }
    return this.#address;
  }

  #freshRedirect(now: number): string | null {
    return now - this.#redirectedAt < REDIRECT_MILLISECONDS ? this.#redirect : null;
  }

  #pick(addresses: readonly string[]): string | null {
    return addresses[Math.floor(this.#random.next() * addresses.length)] ?? null;
  }
}
