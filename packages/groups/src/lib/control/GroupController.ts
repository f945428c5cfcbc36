import {
  LastingCondition, type AvailabilityZoneId, type Clock, type FencingNumber, type ModelName, type ServiceId,
  type TableStore,
} from '@dandelionlane/core';
import {
  formationName, toUnregisteredWorker, type ConfigurationHolder, type EngineProfile, type OrderStamp,
  type Worker, type WorkerPort, type WorkerTable,
} from '@dandelionlane/fleet';
import type { HeldLease } from '@dandelionlane/platform';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import CapacityMoves from '../capacity/CapacityMoves.js';
import MISSES_UNTIL_SILENT from '../observation/MISSES_UNTIL_SILENT.js';
import type ReportedGroup from '../observation/ReportedGroup.js';
import WorkerObserver from '../observation/WorkerObserver.js';
import EpochSource from '../plan/EpochSource.js';
import ModelDemand from '../plan/ModelDemand.js';
import planGroups from '../plan/planGroups.js';
import type GroupRecord from '../plan/GroupRecord.js';
import type OrderStep from '../plan/OrderStep.js';
import GroupStore from './GroupStore.js';
import OrderSender from './OrderSender.js';

/** Period of the control loop, in ms. */
const ROUND_PERIOD_MILLISECONDS = 40;

/** Share of silent workers from which on nothing is planned: this process's own network may have failed. */
const COMMON_SILENCE_SHARE = 0.6;

/** Time after which such a silence is taken for that of this process's network in any case, in ms. */
const MAXIMUM_COMMON_SILENCE_MILLISECONDS = 3_000;

/**
 * Time for which other entries have progress at silent workers until the silence is taken for that of this
 * process's network, in ms: a silent worker that goes on has answered another probe by then.
 */
const MAXIMUM_BYPASS_MILLISECONDS = 400;

/** Delay before records are written or read again after a failure, in ms: each call has a cost. */
const STORE_RETRY_DELAY_MILLISECONDS = 300;

/** Orders sent per round: sending all first orders of a large fleet at once would block the process. */
const ORDERS_PER_ROUND = 40;

/** Gap between two rounds above which observations of the workers are discarded as stale, in ms. */
const MAXIMUM_ROUND_GAP_MILLISECONDS = 800;

/** Options of `GroupController`. */
interface GroupControllerOptions {
  readonly store: TableStore;
  readonly port: WorkerPort;
  readonly workers: WorkerTable;
  readonly configuration: ConfigurationHolder;
  /** The lease while this process may act as its holder, otherwise null. */
  readonly lease: () => HeldLease | null;
  /** Whether the lease is confirmed to be held; `lease` stays valid for a while without the store. */
  readonly isLeaseHeld: () => boolean;
  /** Whether the store is reachable. While it is not, orders are sent before their records are saved. */
  readonly isStoreReachable: () => boolean;
  /** Releases the lease so that another process can acquire it. */
  readonly resign: () => void;
  /** Clock that keeps running while the process is suspended. */
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Zones that are out of service. */
  readonly closedZones: () => ReadonlySet<AvailabilityZoneId>;
  /** Whether weight loads are unlimited: they are cheap before the first traffic. */
  readonly isBootstrapping: () => boolean;
}

/** Forms and repairs the groups of all model services while this process holds the lease. */
export default class GroupController {
  readonly #options: GroupControllerOptions;

  readonly #store: GroupStore;

  readonly #observer: WorkerObserver;

  readonly #sender: OrderSender;

  readonly #demand: ModelDemand;

  readonly #moves: CapacityMoves;

  #fencing: FencingNumber | null = null;

  #epochs: { readonly fencing: FencingNumber; readonly source: EpochSource } | null = null;

  #isStoreCallInFlight = false;

  /** Whether the next term reconciles the records in memory with a restored store. */
  #needsReconciliation = false;

  /** Monotonic time at which reading or writing records last failed, in ms. */
  #storeFailedAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the last round, in ms. */
  #lastRoundAt = Number.NEGATIVE_INFINITY;

  /** Whether most workers are silent. */
  readonly #commonSilence = new LastingCondition(MAXIMUM_COMMON_SILENCE_MILLISECONDS);

  /** Whether other entries have progress at silent workers. */
  readonly #bypass = new LastingCondition(MAXIMUM_BYPASS_MILLISECONDS);

  #timer: NodeJS.Timeout | undefined;

  constructor(options: GroupControllerOptions) {
    this.#options = options;
    this.#store = new GroupStore(options.store, options.log);
    this.#demand = new ModelDemand(options.clock);
    this.#moves = new CapacityMoves(options);
    this.#observer = new WorkerObserver({
      port: options.port,
      clock: options.clock,
      log: options.log,
      reportLagMilliseconds: () => this.#maximumReportLagMilliseconds(),
      onWorkerLeaving: (worker) => options.workers.markLeaving(worker),
    });
    this.#sender = new OrderSender({
      ...options,
      observer: this.#observer,
      onFenced: () => {
        this.#fencing = null;
        options.resign();
      },
    });
  }

  start(): void {
    this.#timer = setInterval(() => void this.#round(), ROUND_PERIOD_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Maximum age of a report across all engines, in ms. */
  #maximumReportLagMilliseconds(): number {
    return Math.max(0, ...this.#engines().map(([, engine]) => engine.reportLagMilliseconds));
  }

  /** Groups, with their models, that workers report but that their registrations do not yet contain. */
  unregisteredGroups(): readonly (ReportedGroup & { readonly model: ModelName | null })[] {
    const models = new Map(this.#store.records.map(({ name, model }) => [name, model]));
    return this.#observer.unregisteredGroups().map(({ worker, group }) => ({
      worker,
      group,
      model: group === null ? null : models.get(group.name) ?? null,
    }));
  }

  /**
   * Handles the restoration of the store from an older copy. While this process acts as the holder,
   * its records are newer than those of the copy and are written again.
   */
  handleStoreRestored(): void {
    this.#needsReconciliation = this.#fencing !== null;
    this.#fencing = null;
  }

  /**
   * Records the requests that currently run on or wait for each model.
   * @param priorities most urgent priority of the recent requests of each model, where it is known
   */
  recordDemand(
    requests: ReadonlyMap<ModelName, number>,
    priorities: ReadonlyMap<ModelName, number> = new Map(),
  ): void {
    this.#demand.record(requests);
    this.#demand.recordPriorities(priorities);
  }

  /** Records that streams of these formations, named `name/epoch`, have just delivered events. */
  recordProgress(formations: readonly string[]): void {
    this.#observer.recordProgress(formations);
  }

  /** Probes the members of a formation that appears stalled in the next round. */
  probeFormation(formation: string): void {
    this.#observer.probeFormation(formation);
  }

  async #round(): Promise<void> {
    const lease = this.#options.lease();
    if (lease === null) {
      this.#needsReconciliation = false;
      if (this.#fencing !== null) {
        this.#options.log.info('Term ended.', { fencing: this.#fencing });
        this.#fencing = null;
        this.#observer.clear();
        this.#demand.clear();
        this.#commonSilence.reset();
        this.#bypass.reset();
      }
      return;
    }
    this.#clearWhenStale();
    if (this.#isStoreCallInFlight) {
      this.#observer.probeDueWorkers();
      return;
    }
    if (this.#fencing !== lease.fencing && !await this.#beginTerm(lease)) {
      return;
    }
    this.#updateObservedWorkers();
    this.#observer.probeDueWorkers();
    if (!this.#areMostWorkersSilent()) {
      await this.#plan(lease);
    }
  }

  /** Discards all observations after this process was suspended, so that it probes before it plans. */
  #clearWhenStale(): void {
    const now = this.#options.clock.monotonicMilliseconds();
    if (now - this.#lastRoundAt > MAXIMUM_ROUND_GAP_MILLISECONDS) {
      this.#observer.clear();
    }
    this.#lastRoundAt = now;
  }

  async #beginTerm(lease: HeldLease): Promise<boolean> {
    const now = this.#options.clock.monotonicMilliseconds();
    if (now - this.#storeFailedAt < STORE_RETRY_DELAY_MILLISECONDS) {
      return false;
    }
    this.#isStoreCallInFlight = true;
    const loaded = this.#needsReconciliation ? await this.#store.reconcile() : await this.#store.load();
    this.#isStoreCallInFlight = false;
    if (loaded.isErr()) {
      this.#storeFailedAt = now;
      this.#options.log.warn('Group records were not read.', { reason: loaded.error.message });
      return false;
    }
    if (!this.#needsReconciliation) {
      this.#observer.clear();
    }
    this.#needsReconciliation = false;
    this.#moves.clear();
    this.#fencing = lease.fencing;
    this.#options.log.info('Term began.', { fencing: lease.fencing, groups: this.#store.records.length });
    return true;
  }

  /** Services that have models, with their engines. */
  #engines(): readonly (readonly [ServiceId, EngineProfile])[] {
    const services = this.#options.configuration.table?.configuration.services;
    return [...(services?.values() ?? [])]
      .flatMap(({ id, engine }) => (
        engine === null || engine.models.length === 0 ? [] : [[id, engine] as const]
      ));
  }

  #updateObservedWorkers(): void {
    const { workers } = this.#options;
    const registered = this.#engines()
      .flatMap(([service]) => workers.ofService(service).map(({ worker }) => worker));
    const unregistered = this.#store.records.flatMap(({ service, members, formerHeads }) => (
      [...members, ...formerHeads.map(({ head }) => head)]
        .map((reference) => toUnregisteredWorker({ ...reference, service }))
    ));
    const mayReturn = (worker: Worker) => workers.isRecovering && !workers.isWithdrawn(worker);
    this.#observer.setObservedWorkers(registered, {
      lapsed: unregistered.filter(mayReturn),
      gone: unregistered.filter((worker) => !mayReturn(worker)),
    });
  }

  /**
   * Whether most workers are silent to this process. Gives the lease up where other entries go on to have
   * progress at them, or where the silence lasts: sound workers may all be silent for a second.
   */
  #areMostWorkersSilent(): boolean {
    const observation = this.#observer.observation();
    const registered = [...observation.workers.values()].filter((worker) => worker.isRegistered);
    const silent = registered.filter(({ misses }) => misses >= MISSES_UNTIL_SILENT);
    if (registered.length === 0 || silent.length < registered.length * COMMON_SILENCE_SHARE) {
      this.#commonSilence.reset();
      this.#bypass.reset();
      return false;
    }
    const now = this.#options.clock.monotonicMilliseconds();
    const isLasting = this.#commonSilence.observe(true, now);
    const progressing = registered.flatMap(({ report }) => (
      report?.group != null && observation.isProgressing(report.group) ? [formationName(report.group)] : []
    ));
    // Members of groups that make progress are probed seldom, and so are silent workers.
    new Set(progressing).forEach((formation) => {
      this.#observer.probeFormation(formation);
      this.#observer.probeSilentMembers(formation);
    });
    const haveProgress = silent
      .some(({ report }) => report?.group != null && observation.isProgressing(report.group));
    const isBypassed = this.#bypass.observe(haveProgress, now);
    if (isBypassed || isLasting) {
      this.#options.log.warn('Most workers are silent, giving the lease up.', {
        silent: silent.length, workers: registered.length, haveProgress,
      });
      this.#options.resign();
    }
    return true;
  }

  /** The epoch source of a term, kept even when the term is interrupted in this process. */
  #epochSourceOf(fencing: FencingNumber): EpochSource {
    const epochs = this.#epochs?.fencing === fencing ? this.#epochs.source : new EpochSource(fencing);
    this.#epochs = { fencing, source: epochs };
    return epochs;
  }

  async #plan(lease: HeldLease): Promise<void> {
    const epochs = this.#epochSourceOf(lease.fencing);
    const observation = this.#observer.observation();
    const isConfirmed = this.#options.isLeaseHeld();
    const steps = this.#engines().flatMap(([service, engine]) => planGroups({
      service,
      epochs,
      isConfirmed,
      engine,
      records: this.#store.records,
      observation,
      candidates: this.#options.workers.ofService(service).map(({ worker }) => worker.id),
      demand: this.#demand,
      closedZones: this.#options.closedZones(),
      capacity: this.#moves,
      isStoreReachable: this.#options.isStoreReachable(),
    }));
    if (!isConfirmed && epochs.isSuperseded) {
      this.#options.log.warn('Workers are in groups of a later term, giving the lease up.', { fencing: lease.fencing });
      this.#options.resign();
      return;
    }
    const writes = steps.flatMap((step) => (step.kind === 'write' ? [step] : []));
    const deletions = steps.flatMap((step) => (step.kind === 'delete' ? [step] : []));
    writes.forEach(({ record, reason }) => this.#logRecord(record, reason));
    deletions.forEach(({ name, reason }) => this.#options.log.info('Group dissolved.', { group: name, reason }));
    this.#store.applyChanges(writes.map(({ record }) => record), deletions.map(({ name }) => name));
    if (!this.#store.isSaved) {
      await this.#save();
    }
    if (!this.#store.isSaved && this.#options.isStoreReachable()) {
      return;
    }
    // Orders above the limit are planned again in the next round.
    steps.filter((step) => step.kind === 'order').slice(0, ORDERS_PER_ROUND).forEach((step) => {
      const expectedSequence = observation.workers.get(step.worker)?.report?.orderSequence ?? 0;
      this.#sendIfCurrent(step, { fencing: lease.fencing, expectedSequence });
    });
  }

  #logRecord(record: GroupRecord, reason: string): void {
    this.#options.log.info('Group planned.', {
      group: record.name,
      epoch: record.epoch,
      model: record.model,
      members: record.members.map(({ id }) => id).join(','),
      reason,
    });
    this.#options.metrics.count('groups.planned', 1, [`reason:${reason}`]);
  }

  /** Sends an order unless the term ended while records were being saved. */
  #sendIfCurrent(step: OrderStep, stamp: OrderStamp): void {
    if (this.#fencing !== null && this.#options.lease()?.fencing === stamp.fencing) {
      this.#sender.send(step, stamp);
    }
  }

  async #save(): Promise<void> {
    const now = this.#options.clock.monotonicMilliseconds();
    if (now - this.#storeFailedAt < STORE_RETRY_DELAY_MILLISECONDS) {
      return;
    }
    this.#isStoreCallInFlight = true;
    const saved = await this.#store.save();
    this.#isStoreCallInFlight = false;
    if (saved.isOk()) {
      return;
    }
    const { kind, message } = saved.error;
    this.#options.log.warn('Group records were not written.', { kind, reason: message });
    this.#storeFailedAt = now;
    if (kind === 'lease-lost') {
      // The next round starts a new term, which reads the records again.
      this.#fencing = null;
    }
  }
}
