import type { Clock } from '@dandelionlane/core';

/** Longest wait of a starting entry for the answer that names the holder of the lease, in ms. */
const MAXIMUM_LEASE_WAIT_MILLISECONDS = 300;

/**
 * Longest wait for the first message of the holder, in ms: a connection and two periods of its messages.
 * Until then the entry answers 503.
 */
const MAXIMUM_LINK_WAIT_MILLISECONDS = 300;

/** What a starting entry knows of the holder of the lease. */
interface StartingState {
  /** Whether the lease has been read. */
  readonly isLeaseRead: boolean;
  /** Address on which another entry that holds the lease listens; null if there is none. */
  readonly holderAddress: string | null;
  /** Whether there is an established or pending connection to it. */
  readonly hasConnection: boolean;
}

/**
 * Decides whether an entry that has just started leaves the tables to the holder of the lease, whose first
 * message has all rows: after a restart of all entries each would read all tables otherwise. It reads for
 * itself once nobody holds the lease, the holder refuses the connection, or the wait is over.
 */
export default class StartingLink {
  readonly #clock: Clock;

  readonly #startedAt: number;

  #leaseReadAt: number | null = null;

  #hasConnected = false;

  #isOver = false;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.monotonicMilliseconds();
  }

  /** Whether the first message of the holder is waited for. Once it is not, it is not again. */
  isAwaited(state: StartingState): boolean {
    this.#isOver ||= this.#hasFailed(state);
    return !this.#isOver;
  }

  #hasFailed({ isLeaseRead, holderAddress, hasConnection }: StartingState): boolean {
    const now = this.#clock.monotonicMilliseconds();
    if (!isLeaseRead) {
      return now - this.#startedAt >= MAXIMUM_LEASE_WAIT_MILLISECONDS;
    }
    this.#leaseReadAt ??= now;
    const isRefused = this.#hasConnected && !hasConnection;
    this.#hasConnected ||= hasConnection;
    return holderAddress === null || isRefused
      || now - this.#leaseReadAt >= MAXIMUM_LINK_WAIT_MILLISECONDS;
  }
}
