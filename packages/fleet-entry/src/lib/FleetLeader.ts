import { LastingCondition, type EntryId } from '@dandelionlane/core';
import type { LiveEntry } from '@dandelionlane/gateway';
import { TrialGrants } from '@dandelionlane/gateway';
import {
  LinkServer, canOthersReachStore, findAbsentTargets, findProgressingFormations, findStalledFormations,
  isHolderUndersized, sumLoads, sumRequests, sumTraffic,
  type EntryStatus, type FleetState,
} from '@dandelionlane/links';
import type CoordinationOptions from './CoordinationOptions.js';
import MAXIMUM_REPORTED_MILLISECONDS from './MAXIMUM_REPORTED_MILLISECONDS.js';
import MESSAGE_PERIOD_MILLISECONDS from './MESSAGE_PERIOD_MILLISECONDS.js';
import OperatorRowReplicator from './OperatorRowReplicator.js';
import RegistrationReplicator from './RegistrationReplicator.js';
import applyFleetState from './applyFleetState.js';
import createEntryStatus from './createEntryStatus.js';
import measureDemand from './measureDemand.js';
import measurePriorities from './measurePriorities.js';
import measureStoreAge from './measureStoreAge.js';

/** Age of an entry's last status from which its link counts as lost, in ms. */
const ENTRY_TIMEOUT_MILLISECONDS = 1_000;

/** Age of an entry's last status up to which it says which groups make progress, in ms. */
const PROGRESS_AGE_MILLISECONDS = 2 * MESSAGE_PERIOD_MILLISECONDS;

/**
 * Time for which a holder acts before it hands the lease over to a stronger entry, in ms: all links are
 * up by then.
 */
const HANDOVER_DELAY_MILLISECONDS = 3_000;

/**
 * Time for which other entries have progress at workers that this process cannot reach until it gives the
 * lease up, in ms. After a silence of all workers each entry finds its paths back with the next check of its
 * own, up to this much later than the first one.
 */
const MINIMUM_BYPASS_MILLISECONDS = 800;

/** Live entries as the links tell them. */
type FleetEntries = NonNullable<FleetState['entries']>;

/** Status of an entry with the time since it was received, in ms. */
interface ReceivedStatus {
  readonly status: EntryStatus;
  readonly ageMilliseconds: number;
}

/** The holder's side of the links: collects the statuses of all entries and sends what follows from them. */
export default class FleetLeader {
  readonly #options: CoordinationOptions;

  readonly #server: LinkServer;

  readonly #registrations: RegistrationReplicator;

  readonly #operatorRows: OperatorRowReplicator;

  readonly #trials: TrialGrants;

  /** Entries whose link was up in the last round. */
  #connectedEntries = new Set<EntryId>();

  /** Whether others have progress at workers that this process cannot reach. */
  readonly #bypass = new LastingCondition(MINIMUM_BYPASS_MILLISECONDS);

  /** Entries of the whole fleet, as of the last round. */
  #entries: readonly LiveEntry[] = [];

  /** Entries as last sent to the links, serialised for comparison. */
  #sentEntries = '';

  constructor(options: CoordinationOptions) {
    this.#options = options;
    this.#server = new LinkServer({
      ...options.settings.links,
      log: options.log,
      now: () => options.clock.monotonicMilliseconds(),
      onRequest: options.serveForwarded,
      maximumConnections: options.maximumLinkConnections,
      clock: options.clock,
      onClosed: (phase) => options.closedLinks.record(phase),
    });
    this.#operatorRows = new OperatorRowReplicator(options);
    this.#trials = new TrialGrants(options.clock);
    this.#registrations = new RegistrationReplicator({
      ...options, onSnapshotRequired: () => this.#server.scheduleSnapshot(),
    });
  }

  /** Listens for links. Without the lease, links are redirected to the holder. */
  listen(): void {
    void this.#server.listen();
  }

  close(): void {
    this.#server.close();
  }

  /** Entries with a link to this process. */
  get connectedEntries(): readonly EntryId[] {
    return [...this.#connectedEntries];
  }

  /** Entries of the whole fleet, as of the last round. */
  get entries(): readonly LiveEntry[] {
    return this.#entries;
  }

  /** Closes all links once the lease is lost. */
  resign(): void {
    this.#bypass.reset();
    this.#server.disconnect();
  }

  /**
   * Sends links elsewhere, and discards changes of the tables, which only the holder sends on.
   * @param address link address of the holder, null if unknown
   */
  redirect(address: string | null): void {
    this.#options.view.workerRows.takeChanges();
    this.#operatorRows.reset();
    this.#server.redirect(address);
  }

  /**
   * Runs a round of the holder.
   * @param leadingSince monotonic time since which this process has held the lease, in ms
   */
  lead(leadingSince: number): void {
    const {
      view: { workers }, control: { controller }, quarantine, states,
    } = this.#options;
    const others = this.#server.statuses()
      .filter(({ ageMilliseconds }) => ageMilliseconds < ENTRY_TIMEOUT_MILLISECONDS);
    others.forEach(({ status, ageMilliseconds }) => {
      quarantine.merge(status.promptParts, { ageMilliseconds, forwards: true });
      states.recordSharedLimits(status.limits, ageMilliseconds);
    });
    const own = createEntryStatus(this.#options, measureStoreAge(this.#options));
    const received: [ReceivedStatus, ...ReceivedStatus[]] = [{ status: own, ageMilliseconds: 0 }, ...others];
    const statuses = received.map(({ status }) => status);
    others.forEach(({ status }) => status.leaving.forEach((instance) => workers.markLeaving(instance)));
    const entries = this.#updateEntries(statuses);
    this.#entries = entries;
    const serialisedEntries = JSON.stringify(entries);
    const state = this.#createState(received, serialisedEntries === this.#sentEntries ? null : entries);
    this.#sentEntries = serialisedEntries;
    this.#server.broadcast(state, () => ({
      ...this.#registrations.snapshot(),
      entries,
      operators: this.#operatorRows.snapshot(),
      promptParts: [...quarantine.snapshot()],
      limits: [...states.limitsToTell(true)],
    }));
    controller.recordProgress(state.progressing);
    const doubted = statuses.flatMap(({ targets }) => targets.filter((target) => target.doubted));
    [...state.stalled, ...state.absent, ...doubted]
      .forEach(({ formation }) => controller.probeFormation(formation));
    this.#reportDemand(state.loads, statuses.flatMap(({ waiting }) => waiting));
    applyFleetState(state, this.#options);
    this.#handOverIfNeeded(leadingSince, others);
  }

  /** Records which links are up, and returns the entries of the whole fleet. */
  #updateEntries(statuses: readonly EntryStatus[]): FleetEntries {
    const { registry } = this.#options;
    const linked = new Map(statuses.map((status) => [status.entry, status]));
    [...this.#connectedEntries].filter((entry) => !linked.has(entry))
      .forEach((entry) => registry.recordLinkLost(entry));
    this.#connectedEntries = new Set(linked.keys());
    return [
      ...[...linked.values()].map(({
        entry, ready, callerAddress, processorCores, capacity, forwardAddress, unreachable,
      }) => ({
        entry, ready, callerAddress, processorCores, capacity, forwardAddress, unreachable,
      })),
      ...registry.live().filter(({ entry }) => !linked.has(entry))
        .map((entry) => ({ ...entry, unreachable: [...entry.unreachable] })),
    ];
  }

  /** @param received statuses of all entries, that of this one first */
  #createState(
    received: readonly [ReceivedStatus, ...ReceivedStatus[]],
    entries: FleetEntries | null,
  ): FleetState {
    const {
      settings, view: { workers, workerFollower }, control: { controller, lease }, stallThreshold,
    } = this.#options;
    const [own] = received;
    const statuses = received.map(({ status }) => status);
    const recent = received.filter(({ ageMilliseconds }) => ageMilliseconds <= PROGRESS_AGE_MILLISECONDS);
    const progressing = [...findProgressingFormations(recent.map(({ status }) => status))];
    // An entry without paths to targets would find all of them stalled.
    const reaching = received.filter(({ status }) => status.unreachable.length === 0);
    return {
      kind: 'state',
      holder: settings.entry,
      ...this.#registrations.takeChanges(),
      lease: lease.announcement(),
      ageMilliseconds: Math.round(Math.min(workerFollower.ageMilliseconds, MAXIMUM_REPORTED_MILLISECONDS)),
      operators: this.#operatorRows.takeChanges(),
      entries,
      loads: sumLoads(statuses),
      requests: sumRequests(statuses),
      traffic: sumTraffic(statuses),
      promptParts: own.status.promptParts,
      limits: own.status.limits,
      trials: [...this.#trials.grant(statuses.flatMap(({ entry, trialsSought }) => (
        trialsSought.map((part) => ({ part, entry }))
      )))],
      absent: findAbsentTargets(statuses).filter(({ formation }) => !progressing.includes(formation)),
      progressing,
      stalled: findStalledFormations(reaching, stallThreshold),
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
  }

  /** Whether the workers of a service with groups are out of reach of this process. */
  get #hasLostWorkers(): boolean {
    const { paths, view: { configuration: { table } } } = this.#options;
    return paths.lostServices.some((service) => table?.configuration.services.get(service)?.engine != null);
  }

  #reportDemand(loads: FleetState['loads'], waiting: EntryStatus['waiting']): void {
    const { control, view: { configuration: { table }, workers } } = this.#options;
    if (table !== null) {
      control.controller.recordDemand(measureDemand({
        configuration: table.configuration, workers, loads, waiting,
      }), measurePriorities(waiting));
    }
  }

  /**
   * Resigns if the store answers other entries but not this process, as they have newer data, if others
   * have progress at workers that this process cannot reach, or if it is too weak for the number of links.
   */
  #handOverIfNeeded(leadingSince: number, others: readonly ReceivedStatus[]): void {
    const {
      control, log, clock, paths, settings: { processorCores },
    } = this.#options;
    const canHandOver = clock.monotonicMilliseconds() - leadingSince > HANDOVER_DELAY_MILLISECONDS;
    if (canHandOver && isHolderUndersized(processorCores, others.map(({ status }) => status))) {
      log.info('A stronger entry is linked, giving the lease up.', { processorCores, links: others.length });
      control.leadership.resign();
      return;
    }
    const areWorkersReachedByOthers = findProgressingFormations(others
      .filter(({ ageMilliseconds }) => ageMilliseconds <= PROGRESS_AGE_MILLISECONDS)
      .map(({ status }) => status)
      .filter(({ unreachable }) => unreachable.length === 0)).length > 0;
    const isBypassed = this.#hasLostWorkers && areWorkersReachedByOthers;
    if (this.#bypass.observe(isBypassed, clock.monotonicMilliseconds())) {
      log.warn('Other entries reach the workers, giving the lease up.', { unreachable: paths.lostServices.join(' ') });
      control.leadership.resign();
      return;
    }
    const ages = others.map(({ status, ageMilliseconds }) => status.storeAgeMilliseconds + ageMilliseconds);
    const storeAge = measureStoreAge(this.#options);
    if (!control.lease.isStoreReachable() && canOthersReachStore(storeAge, ages)) {
      log.warn('The store serves others only, giving the lease up.', { storeAge: Math.round(storeAge) });
      control.leadership.resign();
    }
  }
}
