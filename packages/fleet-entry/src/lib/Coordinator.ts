import type {
  Clock, EntryId, RandomSource, WorkerId,
} from '@dandelionlane/core';
import { toUnregisteredWorker } from '@dandelionlane/fleet';
import type {
  EntryRegistry, KnownEntry, RepeatBudget, TargetStates,
} from '@dandelionlane/gateway';
import {
  LinkClient, LinkServer, findStalled, isOvertaxed, othersReachStore, sumLoads, sumRequests, type EntryStatus,
  type FleetState,
} from '@dandelionlane/links';
import type { Log } from '@dandelionlane/telemetry';
import type FleetEntrySettings from './FleetEntrySettings.js';
import type FleetView from './FleetView.js';
import type GroupControl from './GroupControl.js';
import HolderSearch from './HolderSearch.js';
import type HolderSign from './HolderSign.js';

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

/** Longest silence that is told, in ms. */
const LONGEST_SILENCE_MILLISECONDS = 60_000;

/** Time for which a formation that stands still is left out after it was last told, in ms. */
const SUSPICION_MILLISECONDS = 500;

/** What a `Coordinator` needs from outside. */
interface CoordinatorOptions {
  readonly settings: FleetEntrySettings;
  readonly registry: EntryRegistry;
  readonly states: TargetStates;
  readonly budget: RepeatBudget;
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
 * stand still. Nothing rests on
 * the links: an entry without one reads the store itself and goes by its own streams.
 */
export default class Coordinator {
  readonly #options: CoordinatorOptions;

  readonly #server: LinkServer;

  readonly #client: LinkClient;

  readonly #search: HolderSearch;

  #linkedEntries: readonly KnownEntry[] | null = null;

  /** Entries whose link worked in the last round of the holder. */
  #linked = new Set<EntryId>();

  #leading = false;

  /** Monotonic time at which this process came to hold the lease, in ms. */
  #leadingSince = Number.NEGATIVE_INFINITY;

  /** The holder that spoke last on the link. */
  #linkedHolder: EntryId | null = null;

  /** Whether the holder last told that it renews its lease. */
  #renewing = false;

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
    return this.#leading ? null : this.#linkedEntries;
  }

  /** Whether this process holds the lease and reads for all. */
  get isLeading(): boolean {
    return this.#leading;
  }

  /** Entries whose links to this process work, while it holds the lease. */
  attachedEntries(): readonly EntryId[] {
    return this.#leading ? [...this.#linked] : [];
  }

  /** What the link tells of the holder of the lease. */
  holderSign(): HolderSign {
    if (this.#leading || this.#client.ageMilliseconds >= HEARD_MILLISECONDS) {
      return 'silent';
    }
    return this.#renewing ? 'renewing' : 'alive';
  }

  #round(): void {
    const {
      control, view,
    } = this.#options;
    const isLeading = control.leadership.acting() !== null;
    if (this.#leading && !isLeading) {
      this.#server.disconnect();
    }
    if (!this.#leading && isLeading) {
      this.#leadingSince = this.#options.clock.monotonicMilliseconds();
    }
    this.#leading = isLeading;
    if (isLeading) {
      this.#client.maintain(null);
      view.workerFollower.resume();
      view.operatorFollower.resume();
      this.#lead();
      return;
    }
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
      isLinked: this.#client.working && String(this.#linkedHolder) === String(holder),
      isEngaged: !this.#client.idle,
      storeAgeMilliseconds: this.#storeAge(),
    });
  }

  #ownStatus(): EntryStatus {
    const {
      settings, states, isReady, clock,
    } = this.#options;
    const now = clock.monotonicMilliseconds();
    const targets = [...states.entries()].filter(([, { streams }]) => streams.size > 0)
      .map(([worker, state]) => {
        state.told();
        const streams = [...state.streams];
        const started = streams.filter(({ lastEventAt, paused }) => lastEventAt !== null && !paused);
        const formation = streams[0]?.formation ?? '';
        return {
          worker,
          formation,
          outstanding: state.outstanding,
          started: started.length,
          unreadTokens: state.unreadTokens,
          // Before the first event the silence has no beginning.
          silentMilliseconds: Math.round(Math.min(now - state.lastProgressAt, LONGEST_SILENCE_MILLISECONDS)),
          doubted: state.isDoubted(formation),
        };
      });
    return {
      kind: 'status',
      entry: settings.entry,
      ready: isReady(),
      callerAddress: `${settings.callers.host}:${settings.callers.port}`,
      processorCores: settings.processorCores,
      storeAgeMilliseconds: Math.round(Math.min(this.#storeAge(), LONGEST_SILENCE_MILLISECONDS)),
      requests: [...this.#options.budget.counts()],
      targets,
    };
  }

  /** Time since this process came to hold the lease, in ms. */
  get #ledFor(): number {
    return this.#options.clock.monotonicMilliseconds() - this.#leadingSince;
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
  #handOver(others: readonly { readonly status: EntryStatus; readonly ageMilliseconds: number }[]): void {
    const { control, log, settings: { processorCores } } = this.#options;
    const isSettled = this.#ledFor > SETTLED_MILLISECONDS;
    if (isSettled && isOvertaxed(processorCores, others.map(({ status }) => status))) {
      log.info('A stronger entry is linked, giving the lease up.', { processorCores, links: others.length });
      control.leadership.resign();
      return;
    }
    const ages = others.map(({ status, ageMilliseconds }) => status.storeAgeMilliseconds + ageMilliseconds);
    if (!control.lease.isInTouch() && othersReachStore(this.#storeAge(), ages)) {
      log.warn('The store serves others only, giving the lease up.', { storeAge: Math.round(this.#storeAge()) });
      control.leadership.resign();
    }
  }

  #lead(): void {
    const {
      settings, registry, view: { workerRows, workerFollower, operatorFollower },
      control: { controller, lease }, quietLimit,
    } = this.#options;
    const others = this.#server.statuses()
      .filter(({ ageMilliseconds }) => ageMilliseconds < ENTRY_SILENCE_MILLISECONDS);
    const statuses = [{ status: this.#ownStatus(), ageMilliseconds: 0 }, ...others];
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
      rows: [...workerRows.takeChanges()],
      whole: false,
      returned: workerRows.takeReturned(),
      version: workerRows.version,
    };
    this.#toldEntries = told;
    this.#server.broadcast(state, () => ({ rows: [...workerRows.all()], entries }));
    const doubted = statuses.flatMap(({ status: { targets } }) => targets.filter((target) => target.doubted));
    [...state.stalled, ...doubted].forEach(({ formation }) => controller.formationStalled(formation));
    this.#applyShared(state);
    this.#handOver(others);
  }

  #takeState(state: FleetState): void {
    const { view: { workerRows, workerFollower, operatorFollower }, control } = this.#options;
    this.#linkedHolder = state.holder;
    this.#renewing = state.lease !== null;
    if (state.lease !== null) {
      control.lease.announced(state.lease);
    }
    if (state.returned) {
      workerRows.storeReturned();
    }
    if (state.whole) {
      workerRows.reset(state.rows.filter(({ value }) => value !== null), state.version);
    } else {
      workerRows.change(state.rows);
    }
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
    this.#applyShared(state);
  }

  #applyShared({
    loads, requests, stalled, groups,
  }: FleetState): void {
    const { states, budget, view: { workers } } = this.#options;
    requests.forEach(({ service, requests: count }) => budget.requestsShared(service, count));
    groups.forEach(({
      worker, group, model, ...place
    }) => {
      workers.noteGroup(worker, group, model);
      workers.putUnregistered(toUnregisteredWorker({ id: worker, ...place }), group, model);
    });
    loads.forEach(({ worker, outstanding, unreadTokens }) => {
      states.of(worker).loadShared(outstanding, unreadTokens);
    });
    stalled.forEach(({ worker, formation }) => {
      const target = states.of(worker);
      target.suspect(formation, SUSPICION_MILLISECONDS);
      [...target.streams].filter((stream) => stream.formation === formation)
        .forEach((stream) => stream.stalled());
    });
  }

  #unlinked(): void {
    this.#linkedEntries = null;
    this.#options.view.workerFollower.resume();
    this.#options.view.operatorFollower.resume();
  }
}
