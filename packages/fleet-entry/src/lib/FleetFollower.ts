import type { EntryId } from '@dandelionlane/core';
import type { LiveEntry } from '@dandelionlane/gateway';
import { LinkClient, type FleetState } from '@dandelionlane/links';
import type CoordinationOptions from './CoordinationOptions.js';
import type HolderLiveness from './HolderLiveness.js';
import HolderLocator from './HolderLocator.js';
import OperatorRowReplicator from './OperatorRowReplicator.js';
import RegistrationReplicator from './RegistrationReplicator.js';
import STALE_VIEW_MILLISECONDS from './STALE_VIEW_MILLISECONDS.js';
import StartingLink from './StartingLink.js';
import applyFleetState from './applyFleetState.js';
import createEntryStatus from './createEntryStatus.js';
import linkLossMilliseconds from './linkLossMilliseconds.js';
import measureStoreAge from './measureStoreAge.js';

/** Age of the holder's last message from which the holder counts as silent, in ms: 2.5 message periods. */
const HOLDER_TIMEOUT_MILLISECONDS = 300;

/** An entry's side of the links: reports to the holder of the lease, and applies what the holder sends. */
export default class FleetFollower {
  readonly #options: CoordinationOptions;

  readonly #client: LinkClient;

  readonly #holderLocator: HolderLocator;

  readonly #registrations: RegistrationReplicator;

  readonly #operatorRows: OperatorRowReplicator;

  #entries: readonly LiveEntry[] | null = null;

  /** Holder that sent the last message on the link, and whether it was renewing its lease. */
  #linkedHolder: { readonly entry: EntryId; readonly isRenewing: boolean } | null = null;

  /** Link address of the holder as last located, or null. */
  #holderAddress: string | null = null;

  /** Monotonic time at which the last state of the holder was received, in ms; null before the first one. */
  #stateReceivedAt: number | null = null;

  readonly #startingLink: StartingLink;

  #isReadingStore = false;

  constructor(options: CoordinationOptions) {
    this.#options = options;
    this.#client = new LinkClient({
      log: options.log,
      now: () => options.clock.monotonicMilliseconds(),
      onState: (state) => this.#applyState(state),
      onRedirect: (address) => this.#holderLocator.recordRedirect(address),
      onLost: () => this.#handleLinkLoss(),
    });
    this.#holderLocator = new HolderLocator(options.clock, options.random);
    this.#startingLink = new StartingLink(options.clock);
    this.#operatorRows = new OperatorRowReplicator(options);
    this.#registrations = new RegistrationReplicator({ ...options, onSnapshotRequired: () => undefined });
  }

  close(): void {
    this.#client.close();
  }

  /** Live entries as known to the holder of the lease; null without a link to it. */
  get entries(): readonly LiveEntry[] | null {
    return this.#entries;
  }

  /** Liveness of the holder of the lease, as observed on the link. */
  get holderLiveness(): HolderLiveness {
    if (this.#client.ageMilliseconds >= HOLDER_TIMEOUT_MILLISECONDS) {
      return 'silent';
    }
    return this.#linkedHolder?.isRenewing === true ? 'renewing' : 'alive';
  }

  /** Link address of the holder; null if it is unknown or no link to it is up. */
  get linkedAddress(): string | null {
    return this.#client.isHealthy ? this.#holderAddress : null;
  }

  /** Time since the last state of the holder was received, in ms; infinite before the first one. */
  get stateAgeMilliseconds(): number {
    return this.#options.clock.monotonicMilliseconds() - (this.#stateReceivedAt ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether this process reads the store for itself, as it has no link and does not wait for one. */
  get isReadingStore(): boolean {
    return this.#isReadingStore;
  }

  /** Whether a process that has just started waits for the first message of the holder. */
  get isStarting(): boolean {
    return this.#stateReceivedAt === null && !this.#isReadingStore;
  }

  /** Closes the link while this process leads. */
  disconnect(): void {
    const { workerFollower, operatorFollower } = this.#options.view;
    this.#client.maintain(null);
    workerFollower.resume();
    operatorFollower.resume();
  }

  /** Runs a round of an entry without the lease. */
  follow(): void {
    this.#holderAddress = this.#locateHolder();
    this.#client.maintain(this.#holderAddress);
    if (!this.#client.isHealthy) {
      this.#handleLinkLoss();
    }
    this.#client.send(createEntryStatus(this.#options, measureStoreAge(this.#options)));
  }

  #locateHolder(): string | null {
    const { control: { lease }, settings, registry } = this.#options;
    const holder = lease.holder();
    const isOther = holder !== null && String(holder) !== String(settings.entry);
    return this.#holderLocator.locate({
      holderAddress: isOther
        ? lease.observed()?.address ?? registry.linkAddressOf(String(holder) as EntryId) ?? null : null,
      otherAddresses: registry.linkAddresses(),
      isLinked: this.#client.isHealthy && String(this.#linkedHolder?.entry) === String(holder),
      hasConnection: !this.#client.isIdle,
      storeAgeMilliseconds: measureStoreAge(this.#options),
    });
  }

  #applyState(state: FleetState): void {
    const {
      view: { workers, workerFollower, operatorFollower }, control, quarantine, states, clock,
    } = this.#options;
    this.#registrations.apply(state);
    this.#linkedHolder = { entry: state.holder, isRenewing: state.lease !== null };
    if (state.lease !== null) {
      control.lease.observeAnnouncement(state.lease);
    }
    state.leaving.forEach((instance) => workers.markLeaving(instance));
    if (state.ageMilliseconds < STALE_VIEW_MILLISECONDS) {
      workerFollower.pause();
    } else {
      workerFollower.resume();
    }
    const isFresh = state.operators.ageMilliseconds < STALE_VIEW_MILLISECONDS;
    if (isFresh) {
      operatorFollower.pause();
    } else {
      operatorFollower.resumeFromPosition();
    }
    this.#operatorRows.apply(state, isFresh);
    quarantine.merge(state.promptParts, { ageMilliseconds: 0, forwards: false });
    states.recordSharedLimits(state.limits);
    if (state.whole) {
      quarantine.tellAgain();
      states.tellLimitsAgain();
    }
    this.#entries = state.entries ?? this.#entries;
    applyFleetState(state, this.#options);
    // Last, as a state that cannot be applied must not keep this entry from reading the tables itself.
    this.#stateReceivedAt = clock.monotonicMilliseconds();
    this.#isReadingStore = false;
  }

  /** Reads the store again once the last state of the holder is too old, unless a link is up by then. */
  #handleLinkLoss(): void {
    const { view: { workerFollower, operatorFollower } } = this.#options;
    if (this.#isLinkAwaited()) {
      return;
    }
    this.#isReadingStore = true;
    this.#entries = null;
    workerFollower.resume();
    operatorFollower.resume();
  }

  /** Whether the store is not read yet, as a link may come up in time. */
  #isLinkAwaited(): boolean {
    const { settings, control: { lease } } = this.#options;
    if (this.#stateReceivedAt === null) {
      return !settings.bootstrap && this.#startingLink.isAwaited({
        isLeaseRead: Number.isFinite(lease.ageMilliseconds),
        holderAddress: lease.observed()?.released === false ? this.#holderAddress : null,
        hasConnection: !this.#client.isIdle,
      });
    }
    return this.stateAgeMilliseconds < linkLossMilliseconds(settings);
  }
}
