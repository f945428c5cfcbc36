import {
  ControllerId, repeatWork, type Clock, type RandomSource, type ServiceId, type TableStore,
} from '@dandelionlane/core';
import { GroupController } from '@dandelionlane/groups';
import { LeaseKeeper } from '@dandelionlane/platform';
import { logRoundFailure, type Log } from '@dandelionlane/telemetry';
import type EntryRuntime from './EntryRuntime.js';
import type FleetView from './FleetView.js';
import type HolderLiveness from './HolderLiveness.js';
import LEASE_SETTINGS from './LEASE_SETTINGS.js';
import Leadership from './Leadership.js';
import isLeaseReadDue from './isLeaseReadDue.js';

/** Pause between two steps of the lease, in ms. */
const LEASE_PERIOD_MILLISECONDS = 450;

/** Number of such pauses between two steps while the link shows a holder that does not renew the lease. */
const LINKED_LEASE_PERIOD_ROUNDS = 10;

/**
 * Delay of the first step in a new system on one core, in ms; the fewer cores, the longer. Otherwise all
 * entries would write the free lease at once, and a weak one might hold it.
 */
const FIRST_STEP_DELAY_MILLISECONDS = 150;

/** Time for which a free lease is left to stronger entries, in ms: one of their steps and its answer. */
const DEFERRAL_MILLISECONDS = 600;

/** Time for which an entry without paths to the workers leaves a free lease to others, in ms. */
const CUT_OFF_DEFERRAL_MILLISECONDS = 2_500;

/** Period of the check whether this process may contend for the lease yet, in ms. */
const ELIGIBILITY_CHECK_PERIOD_MILLISECONDS = 30;

/** Time after the first start of the whole system during which loads of weights are not paced, in ms. */
const BOOTSTRAP_MILLISECONDS = 9_000;

/** Options of a `GroupControl` besides the runtime. */
interface GroupControlOptions {
  /** Store that the lease is kept in. */
  readonly store: TableStore;
  readonly view: FleetView;
  readonly isLeaving: () => boolean;
  readonly holderLiveness: () => HolderLiveness;
  /** Time since the last message of the holder, in ms; infinite before the first one. */
  readonly linkAgeMilliseconds: () => number;
  /** Whether an entry with significantly more processor time may be alive, which should hold the lease. */
  readonly hasStrongerEntry: () => boolean;
  /** Services no target of which this entry can reach. */
  readonly lostServices: () => readonly ServiceId[];
  readonly random: RandomSource;
}

/** Contends for the lease on the group control and controls the groups while holding it. */
export default class GroupControl {
  readonly lease: LeaseKeeper;

  readonly leadership: Leadership;

  readonly controller: GroupController;

  readonly #options: GroupControlOptions;

  readonly #log: Log;

  readonly #clock: Clock;

  /** Monotonic time of the first step of the lease, in ms. */
  readonly #firstStepAt: number;

  readonly #isBootstrap: boolean;

  #rounds = 0;

  #eligibilityTimer: NodeJS.Timeout | undefined;

  #stopLease: (() => Promise<void>) | null = null;

  constructor(runtime: EntryRuntime, options: GroupControlOptions) {
    const {
      settings, ports, clock, suspendAwareClock, metrics, logFor,
    } = runtime;
    const { view, isLeaving } = options;
    const startedAt = clock.monotonicMilliseconds();
    this.#options = options;
    this.#clock = clock;
    this.#isBootstrap = settings.bootstrap;
    const coreDelay = FIRST_STEP_DELAY_MILLISECONDS / settings.processorCores;
    this.#firstStepAt = startedAt + (settings.bootstrap ? coreDelay * (0.5 + options.random.next()) : 0);
    this.#log = logFor('groups');
    this.lease = new LeaseKeeper({
      store: options.store,
      clock: suspendAwareClock,
      controller: ControllerId.parse(settings.entry),
      region: settings.region,
      settings: LEASE_SETTINGS,
      acquisitionDelayMilliseconds: () => this.#acquisitionDelayMilliseconds(),
      // After a resignation it reads on, to find the next holder.
      mayAcquire: () => this.leadership.canContend,
      address: `${settings.links.host}:${settings.links.port}`,
      era: () => ports.era.current,
      random: options.random,
    });
    this.leadership = new Leadership({
      lease: this.lease,
      holder: ControllerId.parse(settings.entry),
      clock: suspendAwareClock,
      // While the store is unavailable, no other entry can take over from a leaving holder.
      isEligible: () => view.workerRowHandler.isLoaded && (!isLeaving() || !this.lease.isStoreReachable()),
    });
    this.controller = new GroupController({
      store: ports.store,
      port: ports.workers,
      workers: view.workers,
      configuration: view.configuration,
      lease: () => this.leadership.actingLease(),
      isLeaseHeld: () => this.lease.held() !== null,
      isStoreReachable: () => this.lease.isStoreReachable(),
      resign: () => this.leadership.resign(),
      clock: suspendAwareClock,
      log: this.#log,
      metrics,
      closedZones: () => view.operatorRowHandler.closedZones,
      isBootstrapping: () => settings.bootstrap
        && clock.monotonicMilliseconds() - startedAt < BOOTSTRAP_MILLISECONDS,
    });
  }

  start(): void {
    this.controller.start();
    // Checked often, as after a restart of all entries the groups have no holder yet.
    const check = () => this.#checkEligibility();
    this.#eligibilityTimer = setInterval(check, ELIGIBILITY_CHECK_PERIOD_MILLISECONDS);
    check();
  }

  /** Reads the lease, to find its holder, before this process may acquire it; contends once it may. */
  #checkEligibility(): void {
    const { canContend } = this.leadership;
    const isFirstStart = this.#isBootstrap && !canContend;
    if (isFirstStart || this.#clock.monotonicMilliseconds() < this.#firstStepAt) {
      // In a new system there is no holder to find.
      return;
    }
    if (this.#stopLease === null) {
      this.#stopLease = repeatWork(
        () => this.#stepLease(),
        LEASE_PERIOD_MILLISECONDS,
        logRoundFailure(this.#log),
      );
    } else if (canContend && (this.lease.freeInMilliseconds ?? 0) <= 0) {
      this.lease.step().catch(logRoundFailure(this.#log));
    }
    if (canContend) {
      clearInterval(this.#eligibilityTimer);
    }
  }

  /** Handles a restoration of the store from a backup. */
  handleStoreRestored(): void {
    this.lease.handleStoreRestored(this.leadership.actingLease() !== null);
    this.controller.handleStoreRestored();
  }

  /** Stops contending and releases the lease. */
  async release(): Promise<void> {
    clearInterval(this.#eligibilityTimer);
    await this.lease.release();
    await this.#stopLease?.();
  }

  stop(): void {
    this.controller.stop();
  }

  /** Time for which a free lease is left to entries that can do more with it, in ms. */
  #acquisitionDelayMilliseconds(): number {
    const { lostServices, hasStrongerEntry, view: { configuration: { table } } } = this.#options;
    const isCutOff = lostServices().some((service) => (
      table?.configuration.services.get(service)?.engine != null
    ));
    if (isCutOff) {
      return CUT_OFF_DEFERRAL_MILLISECONDS;
    }
    return hasStrongerEntry() ? DEFERRAL_MILLISECONDS : 0;
  }

  async #stepLease(): Promise<void> {
    this.#rounds += 1;
    const isActing = this.leadership.actingLease() !== null;
    if (!this.#options.isLeaving() && (isActing || this.#isLeaseReadDue())) {
      await this.lease.step();
    }
  }

  /** Whether the lease of another holder has to be read in this round. */
  #isLeaseReadDue(): boolean {
    const liveness = this.#options.holderLiveness();
    switch (liveness) {
      case 'renewing':
        return false;
      case 'alive':
        return this.#rounds % LINKED_LEASE_PERIOD_ROUNDS === 0;
      case 'silent':
        return isLeaseReadDue({
          freeInMilliseconds: this.lease.freeInMilliseconds,
          readAgeMilliseconds: this.lease.ageMilliseconds,
          linkAgeMilliseconds: this.#options.linkAgeMilliseconds(),
        });
      default:
        return liveness satisfies never;
    }
  }
}
