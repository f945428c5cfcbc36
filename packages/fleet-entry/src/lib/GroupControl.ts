import { ControllerId, repeatWork, type RandomSource } from '@dandelionlane/core';
import { GroupController } from '@dandelionlane/groups';
import { LeaseKeeper } from '@dandelionlane/platform';
import { logRoundFailure, type Log } from '@dandelionlane/telemetry';
import type EntryRuntime from './EntryRuntime.js';
import type FleetView from './FleetView.js';
import type HolderSign from './HolderSign.js';
import LEASE_SETTINGS from './LEASE_SETTINGS.js';
import Leadership from './Leadership.js';

/** Pause between two steps of the lease, in ms. */
const LEASE_PERIOD_MILLISECONDS = 450;

/** Such pauses between two steps while the holder lives by the link to it, but does not renew the lease. */
const LINKED_LEASE_ROUNDS = 10;

/** Time for which a free lease is left to stronger entries, in ms: a step of theirs and its answer. */
const DEFERENCE_MILLISECONDS = 600;

/** Pause between two looks at whether this process may contend yet, in ms. */
const ELIGIBILITY_PERIOD_MILLISECONDS = 30;

/** Time after the first start of the whole system in which loads of weights are not paced, in ms. */
const BOOTSTRAP_MILLISECONDS = 9_000;

/** What `GroupControl` needs besides the runtime. */
interface GroupControlOptions {
  readonly view: FleetView;
  readonly isLeaving: () => boolean;
  readonly holderSign: () => HolderSign;
  /** Whether an entry with far more processor time may live: it is to hold the lease. */
  readonly knowsStronger: () => boolean;
  readonly random: RandomSource;
}

/** Contends for the lease on the group control, and controls the groups while it is held. */
export default class GroupControl {
  readonly lease: LeaseKeeper;

  readonly leadership: Leadership;

  readonly controller: GroupController;

  readonly #options: GroupControlOptions;

  readonly #log: Log;

  #rounds = 0;

  #beginning: NodeJS.Timeout | undefined;

  #stopLease: (() => Promise<void>) | null = null;

  constructor(runtime: EntryRuntime, options: GroupControlOptions) {
    const {
      settings, ports, clock, wakefulClock, metrics, logFor,
    } = runtime;
    const { view, isLeaving } = options;
    const startedAt = clock.monotonicMilliseconds();
    this.#options = options;
    this.#log = logFor('groups');
    this.lease = new LeaseKeeper({
      store: ports.store,
      clock: wakefulClock,
      controller: ControllerId.parse(settings.entry),
      region: settings.region,
      settings: LEASE_SETTINGS,
      acquisitionDelayMilliseconds: () => (options.knowsStronger() ? DEFERENCE_MILLISECONDS : 0),
      era: () => ports.era.current,
      random: options.random,
    });
    this.leadership = new Leadership({
      lease: this.lease,
      holder: ControllerId.parse(settings.entry),
      clock: wakefulClock,
      // Without the store nobody can follow a holder that leaves.
      isEligible: () => view.workerSink.loaded && (!isLeaving() || !this.lease.isStoreReachable()),
    });
    this.controller = new GroupController({
      store: ports.store,
      port: ports.workers,
      workers: view.workers,
      configuration: view.configuration,
      lease: () => this.leadership.acting(),
      isLeaseHeld: () => this.lease.held() !== null,
      isStoreInTouch: () => this.lease.isStoreReachable(),
      resign: () => this.leadership.resign(),
      clock: wakefulClock,
      log: this.#log,
      metrics,
      closedZones: () => view.operatorSink.closedZones,
      isBootstrapping: () => settings.bootstrap
        && clock.monotonicMilliseconds() - startedAt < BOOTSTRAP_MILLISECONDS,
    });
  }

  start(): void {
    this.controller.start();
    // After a restart of all entries the groups wait for a holder.
    this.#beginning = setInterval(() => {
      if (this.leadership.mayContend) {
        clearInterval(this.#beginning);
        this.#stopLease = repeatWork(
          () => this.#keepLease(),
          LEASE_PERIOD_MILLISECONDS,
          logRoundFailure(this.#log),
        );
      }
    }, ELIGIBILITY_PERIOD_MILLISECONDS);
  }

  /** The store has returned from a copy. */
  restored(): void {
    this.lease.handleStoreRestored(this.leadership.acting() !== null);
    this.controller.restored();
  }

  /** Leaves the lease to others. */
  async release(): Promise<void> {
    clearInterval(this.#beginning);
    await this.lease.release();
    await this.#stopLease?.();
  }

  stop(): void {
    this.controller.stop();
  }

  async #keepLease(): Promise<void> {
    this.#rounds += 1;
    const isActing = this.leadership.acting() !== null;
    if (!this.#options.isLeaving() && this.leadership.mayContend && (isActing || this.#isDue())) {
      await this.lease.step();
    }
  }

  /** Whether the lease of another holder is to be read. */
  #isDue(): boolean {
    const sign = this.#options.holderSign();
    switch (sign) {
      case 'renewing':
        return false;
      case 'alive':
        return this.#rounds % LINKED_LEASE_ROUNDS === 0;
      case 'silent':
        return true;
      default:
        return sign satisfies never;
    }
  }
}
