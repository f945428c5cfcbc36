import type { ResultAsync } from 'neverthrow';
import {
  EMPTY_RELEASE_STATE,
  type Clock, type ReleaseSequence, type ReleaseState, type ServiceDefinition, type ServiceId,
  type ServingError, type TableStore,
} from '@dandelionlane/core';
import { chooseNewerState, loadReleaseState } from '@dandelionlane/release';
import type { Log } from '@dandelionlane/telemetry';

/** Dependencies of a `ReleaseTracker`. */
interface ReleaseTrackerOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Tracks the accepted release state of this entry. The state is null until the table service or a
 * peer has provided one.
 *
 * Invariant: the sequence in force never decreases, whatever is read or received.
 */
export default class ReleaseTracker {
  readonly #options: ReleaseTrackerOptions;

  readonly #listeners: ((state: ReleaseState) => void)[] = [];

  #state: ReleaseState | null = null;

  #definitions: ReadonlyMap<ServiceId, ServiceDefinition> = new Map();

  #storeReadAt = Number.NEGATIVE_INFINITY;

  constructor(options: ReleaseTrackerOptions) {
    this.#options = options;
  }

  state(): ReleaseState | null {
    return this.#state;
  }

  sequence(): ReleaseSequence {
    return (this.#state ?? EMPTY_RELEASE_STATE).sequence;
  }

  definition(service: ServiceId): ServiceDefinition | undefined {
    return this.#definitions.get(service);
  }

  definitions(): Iterable<ServiceDefinition> {
    return this.#definitions.values();
  }

  /** Milliseconds since the last successful read of the table service. */
  storeReadAgeMilliseconds(): number {
    return this.#options.clock.monotonicMilliseconds() - this.#storeReadAt;
  }

  onChange(listener: (state: ReleaseState) => void): void {
    this.#listeners.push(listener);
  }

  /** Merges a state from a peer or the table service. An older one is ignored. */
  merge(candidate: ReleaseState, source: string): void {
    const previous = this.#state;
    const state = previous === null ? candidate : chooseNewerState(previous, candidate);
    if (state === previous) {
      return;
    }
    this.#state = state;
    if (previous !== null && previous.sequence === state.sequence) {
      return;
    }
    this.#definitions = new Map(state.services.map(({ definition }) => [definition.service, definition]));
    this.#options.log.info('Release in force.', { sequence: state.sequence, source });
    this.#listeners.forEach((listener) => listener(state));
  }

  /** Reads the changes since the state in force from the table service, and merges them. */
  readStore(): ResultAsync<void, ServingError> {
    const { store, clock } = this.#options;
    return loadReleaseState(store, this.#state ?? EMPTY_RELEASE_STATE)
      .map((state) => {
        this.#storeReadAt = clock.monotonicMilliseconds();
        return this.merge(state, 'store');
      });
  }
}
