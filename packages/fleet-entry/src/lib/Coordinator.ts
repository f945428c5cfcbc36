import type {
  Clock, EntryId, RandomSource, StoreEra, WorkerId,
} from '@dandelionlane/core';
import type {
  EntryRegistry, KnownEntry, RepeatBudget, TargetStates, WaitingRoom,
} from '@dandelionlane/gateway';
import {
  LinkClient, LinkServer, findProgressing, findStalled, isOvertaxed, othersReachStore, sumLoads, sumRequests,
  type EntryStatus, type FleetState,
} from '@dandelionlane/links';
import type { Log } from '@dandelionlane/telemetry';
import type FleetEntrySettings from './FleetEntrySettings.js';
import type FleetView from './FleetView.js';
import type GroupControl from './GroupControl.js';
import HolderSearch from './HolderSearch.js';
import type HolderSign from './HolderSign.js';
import RegistrationSharing from './RegistrationSharing.js';
import applyShared from './applyShared.js';
import measureDemand from './measureDemand.js';
import readOwnStatus from './readOwnStatus.js';

/** Time between two messages on a link, in ms. */
const PERIOD_MILLISECONDS = 120;

/**
 * Age of the holder's view of a table from which an entry reads the store itself, in ms. Above the
 * time between two answers of the feed, and well below the times in which work has to stop going
 * to a worker that leaves and in which a configuration has to be in force.
 */
const STALE_MILLISECONDS = 1_100;

/** Age of the holder's last message up to which it is known to live, in ms: two messages and a half. */
const HEARD_MILLISECONDS = 300;

/** Time after the last status of an entry from which its link counts as ended, in ms. */
const ENTRY_SILENCE_MILLISECONDS = 1_000;

/** Time for which a holder acts before it leaves the lease to a stronger entry, in ms: all links are up. */
const SETTLED_MILLISECONDS = 3_000;

/** What a `Coordinator` needs from outside. */
interface CoordinatorOptions {
  readonly settings: FleetEntrySettings;
  readonly era: StoreEra;
  readonly registry: EntryRegistry;
  readonly states: TargetStates;
  readonly budget: RepeatBudget;
  readonly waitingRoom: WaitingRoom;
  readonly view: FleetView;
  readonly control: GroupControl;
  readonly isReady: () => boolean;
  /** Longest usual silence of a model target, in ms. */
  readonly quietLimit: (worker: WorkerId, unreadTokens: number) => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
}

/**
 * Shares what entries know by way of the holder of the lease: the holder reads the workers'
 * registrations for all, watches the operators' table, sums up loads, and finds formations that
 * stand still. Nothing rests on the links: an entry without one reads the store itself and goes by
 * its own streams.
 */
export default class Coordinator {
  readonly #options: CoordinatorOptions;

  readonly #server: LinkServer;

  readonly #client: LinkClient;

  readonly #search: HolderSearch;

  readonly #registrations: RegistrationSharing;

  #linkedEntries: readonly KnownEntry[] | null = null;

  /** Entries whose link worked in the last round of the holder. */
  #linked = new Set<EntryId>();

  /** Monotonic time at which this process came to hold the lease, in ms; null while it does not. */
  #leadingSince: number | null = null;

  /** The holder that spoke last on the link, and whether it renewed its lease then. */
  #linkedHolder: { readonly entry: EntryId; readonly renewing: boolean } | null = null;

  /** Entries as they were last told, in a form to compare. */
  #toldEntries = '';

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
      receive: (state) => this.#takeState(state),
      redirected: (address) => this.#search.redirected(address),
      lost: () => this.#unlinked(),
    });
    this.#search = new HolderSearch(options.clock, options.random);
    this.#registrations = new RegistrationSharing({ ...options, outdated: () => this.#server.sendWhole() });
  }

  start(): void {
    void this.#server.listen();
    this.#timer = setInterval(() => this.#round(), PERIOD_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#client.close();
    this.#server.close();
  }

  /** Live entries as the holder of the lease knows them; null while there is no link to it. */
  linkedEntries(): readonly KnownEntry[] | null {
    return this.isLeading ? null : this.#linkedEntries;
  }

  /** Whether this process holds the lease and reads for all. */
  get isLeading(): boolean {
    return this.#leadingSince !== null;
  }

  /** Entries whose links to this process work, while it holds the lease. */
  attachedEntries(): readonly EntryId[] {
    return this.isLeading ? [...this.#linked] : [];
  }

  /** What the link tells of the holder of the lease. */
  holderSign(): HolderSign {
    if (this.isLeading || this.#client.ageMilliseconds >= HEARD_MILLISECONDS) {
      return 'silent';
    }
    return this.#linkedHolder?.renewing === true ? 'renewing' : 'alive';
  }

  #round(): void {
    const { control, view, clock } = this.#options;
    if (control.leadership.acting() !== null) {
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
    // Only a holder passes changes on.
    view.workerRows.takeChanges();
    const address = this.#holderAddress();
    this.#client.maintain(address);
    if (!this.#client.working) {
      this.#unlinked();
    }
    this.#server.redirect(this.#client.working ? address : null);
    this.#client.send(this.#ownStatus());
  }

  #holderAddress(): string | null {
    const { control: { lease }, settings, registry } = this.#options;
    const holder = lease.holder();
    const isOther = holder !== null && String(holder) !== String(settings.entry);
    return this.#search.address({
      known: isOther ? registry.linkAddressOf(String(holder) as EntryId) ?? null : null,
      others: registry.linkAddresses(),
      isLinked: this.#client.working && String(this.#linkedHolder?.entry) === String(holder),
      isEngaged: !this.#client.idle,
      storeAgeMilliseconds: this.#storeAge(),
    });
  }

  #ownStatus(): EntryStatus {
    return readOwnStatus(this.#options, this.#storeAge());
  }

  /** Time since the store last answered this process, in ms. */
  #storeAge(): number {
    const { control: { lease }, view: { operatorFollower } } = this.#options;
    return Math.min(lease.ageMilliseconds, operatorFollower.ageMilliseconds);
  }

  /**
   * Leaves the lease to others where the store serves them, as they see what this process misses,
   * and where this process is too weak for the number of entries.
   */
  #handOver(
    leadingSince: number,
    others: readonly { readonly status: EntryStatus; readonly ageMilliseconds: number }[],
  ): void {
    const {
      control, log, clock, settings: { processorCores },
    } = this.#options;
    const isSettled = clock.monotonicMilliseconds() - leadingSince > SETTLED_MILLISECONDS;
    if (isSettled && isOvertaxed(processorCores, others.map(({ status }) => status))) {
      log.info('A stronger entry is linked, giving the lease up.', { processorCores, links: others.length });
      control.leadership.resign();
      return;
    }
    const ages = others.map(({ status, ageMilliseconds }) => status.storeAgeMilliseconds + ageMilliseconds);
    if (!control.lease.isStoreReachable() && othersReachStore(this.#storeAge(), ages)) {
      log.warn('The store serves others only, giving the lease up.', { storeAge: Math.round(this.#storeAge()) });
      control.leadership.resign();
    }
  }

  #lead(leadingSince: number): void {
    const {
      settings, registry, view: {
        workers, workerFollower, operatorFollower,
      },
      control: { controller, lease }, quietLimit,
    } = this.#options;
    const others = this.#server.statuses()
      .filter(({ ageMilliseconds }) => ageMilliseconds < ENTRY_SILENCE_MILLISECONDS);
    const statuses = [{ status: this.#ownStatus(), ageMilliseconds: 0 }, ...others];
    others.forEach(({ status }) => status.leaving.forEach((life) => workers.noteLeaving(life)));
    const linked = new Map(statuses.map(({ status }) => [status.entry, status]));
    this.#linked.forEach((entry) => {
      if (!linked.has(entry)) {
        registry.linkLost(entry);
      }
    });
    this.#linked = new Set(linked.keys());
    const entries = [
      ...[...linked.values()].map(({ entry, ready, callerAddress }) => ({ entry, ready, callerAddress })),
      ...registry.live().filter(({ entry }) => !linked.has(entry)),
    ];
    const told = JSON.stringify(entries);
    const state: FleetState = {
      kind: 'state',
      holder: settings.entry,
      ...this.#registrations.changes(),
      lease: lease.announcement(),
      ageMilliseconds: Math.round(workerFollower.ageMilliseconds),
      operators: {
        ...operatorFollower.position,
        ageMilliseconds: Math.round(operatorFollower.ageMilliseconds),
      },
      entries: told === this.#toldEntries ? null : entries,
      loads: sumLoads(statuses.map(({ status }) => status)),
      requests: sumRequests(statuses.map(({ status }) => status)),
      stalled: findStalled(statuses, (worker, unread) => quietLimit(worker, unread)),
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
    this.#toldEntries = told;
    this.#server.broadcast(state, () => ({
      ...this.#registrations.whole(), entries,
    }));
    controller.formationsProgressed(findProgressing(
      statuses.filter(({ ageMilliseconds }) => ageMilliseconds <= 2 * PERIOD_MILLISECONDS)
        .map(({ status }) => status),
    ));
    const doubted = statuses.flatMap(({ status: { targets } }) => targets.filter((target) => target.doubted));
    [...state.stalled, ...doubted].forEach(({ formation }) => controller.formationStalled(formation));
    this.#noteDemand(state.loads, statuses.flatMap(({ status }) => status.waiting));
    applyShared(state, this.#options);
    this.#handOver(leadingSince, others);
  }

  #noteDemand(loads: FleetState['loads'], waiting: EntryStatus['waiting']): void {
    const { control, view: { configuration: { table }, workers } } = this.#options;
    if (table !== null) {
      control.controller.noteDemand(measureDemand({
        configuration: table.configuration, workers, loads, waiting,
      }));
    }
  }

  #takeState(state: FleetState): void {
    const {
      view: { workers, workerFollower, operatorFollower }, control,
    } = this.#options;
    this.#registrations.take(state);
    this.#linkedHolder = { entry: state.holder, renewing: state.lease !== null };
    if (state.lease !== null) {
      control.lease.observeAnnouncement(state.lease);
    }
    state.leaving.forEach((life) => workers.noteLeaving(life));
    if (state.ageMilliseconds < STALE_MILLISECONDS) {
      workerFollower.pause();
    } else {
      workerFollower.resume();
    }
    if (state.operators.ageMilliseconds < STALE_MILLISECONDS) {
      operatorFollower.pause();
      operatorFollower.catchUp(state.operators);
    } else {
      operatorFollower.resume();
    }
    this.#linkedEntries = state.entries ?? this.#linkedEntries;
    applyShared(state, this.#options);
  }

  #unlinked(): void {
    this.#linkedEntries = null;
    this.#options.view.workerFollower.resume();
    this.#options.view.operatorFollower.resume();
  }
}
