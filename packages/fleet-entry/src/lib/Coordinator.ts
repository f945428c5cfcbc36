import type {
  Clock, EntryId, RandomSource, StoreEra, WorkerId,
} from '@dandelionlane/core';
import type {
  AdmissionQueue, EntryRegistry, LiveEntry, RetryBudget, SharedTraffic, TargetStates, TrafficMeter,
} from '@dandelionlane/gateway';
import {
  LinkClient, LinkServer, canOthersReachStore, findAbsentTargets, findProgressingFormations,
  findStalledFormations,
  isHolderUndersized, sumLoads, sumRequests, sumTraffic,
  type EntryStatus, type FleetState,
} from '@dandelionlane/links';
import type { Log } from '@dandelionlane/telemetry';
import type FleetEntrySettings from './FleetEntrySettings.js';
import type FleetView from './FleetView.js';
import type GroupControl from './GroupControl.js';
import HolderLocator from './HolderLocator.js';
import type HolderLiveness from './HolderLiveness.js';
import OperatorRowReplicator from './OperatorRowReplicator.js';
import RegistrationReplicator from './RegistrationReplicator.js';
import applyFleetState from './applyFleetState.js';
import measureDemand from './measureDemand.js';
import createEntryStatus from './createEntryStatus.js';

/** Period of the messages on a link, in ms. */
const MESSAGE_PERIOD_MILLISECONDS = 120;

/**
 * Age of the holder's view of a table from which an entry reads the store itself, in ms. Longer than
 * the time between two answers of the feed, and well below the time limits for stopping work to a
 * leaving worker and for putting a configuration into force.
 */
const STALE_VIEW_MILLISECONDS = 1_100;

/** Age of the holder's last message from which the holder counts as silent, in ms: 2.5 message periods. */
const HOLDER_TIMEOUT_MILLISECONDS = 300;

/**
 * Share of the age that a view may have after which an entry that has lost its link reads the store: a new
 * holder has mostly taken over by then.
 */
const LINK_LOSS_SHARE = 0.45;

/** Age of an entry's last status from which its link counts as lost, in ms. */
const ENTRY_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Time for which a holder acts before it hands the lease over to a stronger entry, in ms: all links are
 * up by then.
 */
const HANDOVER_DELAY_MILLISECONDS = 3_000;

/** Options of a `Coordinator`. */
interface CoordinatorOptions {
  readonly settings: FleetEntrySettings;
  readonly era: StoreEra;
  readonly registry: EntryRegistry;
  readonly states: TargetStates;
  readonly budget: RetryBudget;
  readonly admissionQueue: AdmissionQueue;
  readonly trafficMeter: TrafficMeter;
  readonly sharedTraffic: SharedTraffic;
  readonly view: FleetView;
  readonly control: GroupControl;
  readonly isReady: () => boolean;
  /** Longest usual silence of a model target, in ms. */
  readonly stallThreshold: (worker: WorkerId, unreadTokens: number) => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
}

/**
 * Shares information between entries through the holder of the lease. The holder reads the workers'
 * registrations for all entries, watches the operators' table, sums up loads and detects stalled
 * formations. Nothing depends on the links: an entry without one reads the store itself and relies
 * on observations of its own streams.
 */
export default class Coordinator {
  readonly #options: CoordinatorOptions;

  readonly #server: LinkServer;

  readonly #client: LinkClient;

  readonly #holderLocator: HolderLocator;

  readonly #registrations: RegistrationReplicator;

  readonly #operatorRows: OperatorRowReplicator;

  #fleetEntries: readonly LiveEntry[] | null = null;

  /** Entries whose link was up in the last round of the holder. */
  #connectedEntries = new Set<EntryId>();

  /** Monotonic time since which this process has held the lease, in ms; null while it does not hold it. */
  #leadingSince: number | null = null;

  /** Holder that sent the last message on the link, and whether it was renewing its lease. */
  #linkedHolder: { readonly entry: EntryId; readonly isRenewing: boolean } | null = null;

  /** Monotonic time at which the last state of the holder was received, in ms. */
  #stateReceivedAt = Number.NEGATIVE_INFINITY;

  /** Entries as last sent to the links, serialised for comparison. */
  #sentEntries = '';

  #timer: NodeJS.Timeout | undefined;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    const now = () => options.clock.monotonicMilliseconds();
    this.#server = new LinkServer({
      ...options.settings.links, log: options.log, now,
    });
    this.#client = new LinkClient({
      log: options.log,
      now,
      onState: (state) => this.#applyState(state),
      onRedirect: (address) => this.#holderLocator.recordRedirect(address),
      onLost: () => this.#handleLinkLoss(),
    });
    this.#holderLocator = new HolderLocator(options.clock, options.random);
    this.#operatorRows = new OperatorRowReplicator(options);
    this.#registrations = new RegistrationReplicator({
      ...options, onSnapshotRequired: () => this.#server.scheduleSnapshot(),
    });
  }

  start(): void {
    void this.#server.listen();
    this.#timer = setInterval(() => this.#runRound(), MESSAGE_PERIOD_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#client.close();
    this.#server.close();
  }

  /** Live entries as known to the holder of the lease; null without a link to it. */
  linkedEntries(): readonly LiveEntry[] | null {
    return this.isLeading ? null : this.#fleetEntries;
  }

  /** Whether this process holds the lease and reads the store for all entries. */
  get isLeading(): boolean {
    return this.#leadingSince !== null;
  }

  /** Entries with a link to this process while it holds the lease. */
  connectedEntries(): readonly EntryId[] {
    return this.isLeading ? [...this.#connectedEntries] : [];
  }

  /** Liveness of the holder of the lease, as observed on the link. */
  holderLiveness(): HolderLiveness {
    if (this.isLeading || this.#client.ageMilliseconds >= HOLDER_TIMEOUT_MILLISECONDS) {
      return 'silent';
    }
    return this.#linkedHolder?.isRenewing === true ? 'renewing' : 'alive';
  }

  #runRound(): void {
    const { control, view, clock } = this.#options;
    if (control.leadership.actingLease() !== null) {
      this.#leadingSince ??= clock.monotonicMilliseconds();
      this.#client.maintain(null);
      view.workerFollower.resume();
      view.operatorFollower.resume();
      this.#lead(this.#leadingSince);
      return;
    }
    if (this.isLeading) {
      this.#server.disconnect();
    }
    this.#leadingSince = null;
    // Discards the changes, as only the holder sends them on.
    view.workerRows.takeChanges();
    this.#operatorRows.reset();
    const address = this.#holderAddress();
    this.#client.maintain(address);
    if (!this.#client.isHealthy) {
      this.#handleLinkLoss();
    }
    this.#server.redirect(this.#client.isHealthy ? address : null);
    this.#client.send(this.#createStatus());
  }

  #holderAddress(): string | null {
    const { control: { lease }, settings, registry } = this.#options;
    const holder = lease.holder();
    const isOther = holder !== null && String(holder) !== String(settings.entry);
    return this.#holderLocator.locate({
      holderAddress: isOther
        ? lease.observed()?.address ?? registry.linkAddressOf(String(holder) as EntryId) ?? null : null,
      otherAddresses: registry.linkAddresses(),
      isLinked: this.#client.isHealthy && String(this.#linkedHolder?.entry) === String(holder),
      hasConnection: !this.#client.isIdle,
      storeAgeMilliseconds: this.#storeAgeMilliseconds(),
    });
  }

  #createStatus(): EntryStatus {
    return createEntryStatus(this.#options, this.#storeAgeMilliseconds());
  }

  /** Time since the store last answered this process, in ms. */
  #storeAgeMilliseconds(): number {
    const { control: { lease }, view: { operatorFollower } } = this.#options;
    return Math.min(lease.ageMilliseconds, operatorFollower.ageMilliseconds);
  }

  /**
   * Resigns if the store answers other entries but not this process, as they have newer data, or if
   * this process is too weak for the number of links.
   */
  #handOverIfNeeded(
    leadingSince: number,
    others: readonly { readonly status: EntryStatus; readonly ageMilliseconds: number }[],
  ): void {
    const {
      control, log, clock, settings: { processorCores },
    } = this.#options;
    const canHandOver = clock.monotonicMilliseconds() - leadingSince > HANDOVER_DELAY_MILLISECONDS;
    if (canHandOver && isHolderUndersized(processorCores, others.map(({ status }) => status))) {
      log.info('A stronger entry is linked, giving the lease up.', { processorCores, links: others.length });
      control.leadership.resign();
      return;
    }
    const ages = others.map(({ status, ageMilliseconds }) => status.storeAgeMilliseconds + ageMilliseconds);
    if (!control.lease.isStoreReachable() && canOthersReachStore(this.#storeAgeMilliseconds(), ages)) {
      log.warn('The store serves others only, giving the lease up.', { storeAge: Math.round(this.#storeAgeMilliseconds()) });
      control.leadership.resign();
    }
  }

  #lead(leadingSince: number): void {
    const {
      settings, registry, view: { workers, workerFollower }, control: { controller, lease }, stallThreshold,
    } = this.#options;
    const others = this.#server.statuses()
      .filter(({ ageMilliseconds }) => ageMilliseconds < ENTRY_TIMEOUT_MILLISECONDS);
    const statuses = [{ status: this.#createStatus(), ageMilliseconds: 0 }, ...others];
    others.forEach(({ status }) => status.leaving.forEach((instance) => workers.markLeaving(instance)));
    const linked = new Map(statuses.map(({ status }) => [status.entry, status]));
    this.#connectedEntries.forEach((entry) => {
      if (!linked.has(entry)) {
        registry.recordLinkLost(entry);
      }
    });
    this.#connectedEntries = new Set(linked.keys());
    const entries = [
      ...[...linked.values()].map(({
        entry, ready, callerAddress, processorCores,
      }) => ({
        entry, ready, callerAddress, processorCores,
      })),
      ...registry.live().filter(({ entry }) => !linked.has(entry)),
    ];
    const progressing = findProgressingFormations(
      statuses.filter(({ ageMilliseconds }) => ageMilliseconds <= 2 * MESSAGE_PERIOD_MILLISECONDS)
        .map(({ status }) => status),
    );
    const serialisedEntries = JSON.stringify(entries);
    const state: FleetState = {
      kind: 'state',
      holder: settings.entry,
      ...this.#registrations.takeChanges(),
      lease: lease.announcement(),
      ageMilliseconds: Math.round(workerFollower.ageMilliseconds),
      operators: this.#operatorRows.takeChanges(),
      entries: serialisedEntries === this.#sentEntries ? null : entries,
      loads: sumLoads(statuses.map(({ status }) => status)),
      requests: sumRequests(statuses.map(({ status }) => status)),
      traffic: sumTraffic(statuses.map(({ status }) => status)),
      absent: [...findAbsentTargets(statuses.map(({ status }) => status))],
      progressing: [...progressing],
      stalled: findStalledFormations(statuses, (worker, unread) => stallThreshold(worker, unread)),
      groups: controller.unregisteredGroups().map(({ worker, group, model }) => ({
        worker: worker.id,
        service: worker.service,
        address: worker.address,
        zone: worker.zone,
        domain: worker.domain,
        bornAt: worker.bornAt,
        group,
        model,
      })),
      withdrawn: [],
      leaving: [...workers.announcedLeaving()],
      whole: false,
    };
    this.#sentEntries = serialisedEntries;
    this.#server.broadcast(state, () => ({
      ...this.#registrations.snapshot(), entries, operators: this.#operatorRows.snapshot(),
    }));
    controller.recordProgress(progressing);
    const doubted = statuses.flatMap(({ status: { targets } }) => targets.filter((target) => target.doubted));
    [...state.stalled, ...state.absent, ...doubted]
      .forEach(({ formation }) => controller.probeFormation(formation));
    this.#reportDemand(state.loads, statuses.flatMap(({ status }) => status.waiting));
    applyFleetState(state, this.#options);
    this.#handOverIfNeeded(leadingSince, others);
  }

  #reportDemand(loads: FleetState['loads'], waiting: EntryStatus['waiting']): void {
    const { control, view: { configuration: { table }, workers } } = this.#options;
    if (table !== null) {
      control.controller.recordDemand(measureDemand({
        configuration: table.configuration, workers, loads, waiting,
      }));
    }
  }

  #applyState(state: FleetState): void {
    this.#stateReceivedAt = this.#options.clock.monotonicMilliseconds();
    const {
      view: { workers, workerFollower, operatorFollower }, control,
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
      operatorFollower.resume();
    }
    this.#operatorRows.apply(state, isFresh);
    this.#fleetEntries = state.entries ?? this.#fleetEntries;
    applyFleetState(state, this.#options);
  }

  /** Reads the store again once the last state of the holder is too old, unless a link is up by then. */
  #handleLinkLoss(): void {
    const { clock, settings } = this.#options;
    const silentMilliseconds = clock.monotonicMilliseconds() - this.#stateReceivedAt;
    if (silentMilliseconds < settings.maximumViewAgeMilliseconds * LINK_LOSS_SHARE) {
      return;
    }
    this.#fleetEntries = null;
    this.#options.view.workerFollower.resume();
    this.#options.view.operatorFollower.resume();
  }
}
