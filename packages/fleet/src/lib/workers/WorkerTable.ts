import type {
  Clock, ModelName, ServiceId, WorkerId,
} from '@dandelionlane/core';
import type GroupMembership from './GroupMembership.js';
import WorkerInstanceSet from './WorkerInstanceSet.js';
import type Worker from './Worker.js';
import type WorkerEntry from './WorkerEntry.js';
import type WorkerInstance from './WorkerInstance.js';

/**
 * Time after an outage of the store for which workers with lapsed registrations are kept, in ms. The
 * platform guarantees that their registrations return within about two seconds.
 */
const REGISTRATION_RETURN_MILLISECONDS = 2_200;

/** Workers that are registered as far as this process knows. */
export default class WorkerTable {
  readonly #clock: Clock;

  readonly #entries = new Map<WorkerId, WorkerEntry>();

  readonly #byService = new Map<ServiceId, Map<WorkerId, WorkerEntry>>();

  readonly #byAddress = new Map<string, Set<WorkerId>>();

  /** Instances whose registration has ended permanently, rather than lapsed during an outage of the store. */
  readonly #withdrawals = new WorkerInstanceSet();

  /** Instances that have announced that they are leaving, which is final. */
  readonly #departures = new WorkerInstanceSet();

  readonly #removedListeners: ((worker: WorkerId) => void)[] = [];

  readonly #leavingListeners: ((worker: WorkerId) => void)[] = [];

  #storeReturnedAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Registers a listener for workers that are removed from the table. */
  onRemoved(listener: (worker: WorkerId) => void): void {
    this.#removedListeners.push(listener);
  }

  /** Registers a listener that is called once for each instance that is leaving. */
  onLeaving(listener: (worker: WorkerId) => void): void {
    this.#leavingListeners.push(listener);
  }

  get(id: WorkerId): WorkerEntry | undefined {
    return this.#entries.get(id);
  }

  ofService(service: ServiceId): readonly WorkerEntry[] {
    return [...(this.#byService.get(service)?.values() ?? [])];
  }

  /** Whether a later process is registered under the id of a worker, or at its address. */
  isReplaced({ id, address, bornAt }: Pick<Worker, 'id' | 'address' | 'bornAt'>): boolean {
    return [id, ...this.#byAddress.get(address) ?? []].some((each) => {
      const registered = this.#entries.get(each)?.worker;
      return registered !== undefined && bornAt !== null && (registered.bornAt ?? bornAt) > bornAt;
    });
  }

  all(): readonly WorkerEntry[] {
    return [...this.#entries.values()];
  }

  /** Records that the store answers again after an outage. */
  recordStoreRecovery(): void {
    this.#storeReturnedAt = this.#clock.monotonicMilliseconds();
  }

  /** Whether the store recovered recently, so that registrations may be missing that will return. */
  get isRecovering(): boolean {
    return this.#clock.monotonicMilliseconds() - this.#storeReturnedAt < REGISTRATION_RETURN_MILLISECONDS;
  }

  put(registration: Worker): void {
    this.#withdrawals.delete(registration.id);
    if (registration.draining) {
      this.#recordDeparture(registration);
    }
    const hasAnnouncedLeaving = !registration.draining && this.#departures.has(registration);
    const worker = hasAnnouncedLeaving ? { ...registration, draining: true } : registration;
    const coldUntil = this.#clock.monotonicMilliseconds() + worker.coldMilliseconds;
    const previous = this.#entries.get(worker.id);
    if (previous !== undefined && previous.worker.service !== worker.service) {
      this.#byService.get(previous.worker.service)?.delete(worker.id);
    }
    this.#set({
      worker, group: worker.group, models: worker.models, coldUntil, lapsedAt: null, hasAnnouncedLeaving,
    });
  }

  /**
   * Merges a registration from an older copy of the store. It cannot bring back a withdrawn worker, and
   * for a known instance it only matters whether it is leaving. Returns false for a withdrawn worker.
   */
  putRestored(registration: Worker): boolean {
    const known = this.#entries.get(registration.id);
    if (this.isWithdrawn(registration)) {
      return false;
    }
    if (known === undefined || (registration.bornAt ?? 0) > (known.worker.bornAt ?? 0)) {
      this.put(registration);
    } else if (known.worker.bornAt === registration.bornAt) {
      const isUnaware = known.worker.draining && !registration.draining;
      this.#set({ ...known, lapsedAt: null, hasAnnouncedLeaving: known.hasAnnouncedLeaving || isUnaware });
      if (registration.draining) {
        this.markLeaving(registration);
      }
    }
    return true;
  }

  /**
   * Marks an instance as leaving, possibly before its registration says so or without one: it gets no
   * new requests from now on.
   */
  markLeaving(instance: WorkerInstance): void {
    this.#recordDeparture(instance);
    const entry = this.#entries.get(instance.id);
    if (entry !== undefined && !entry.worker.draining && this.#departures.has(entry.worker)) {
      this.#set({ ...entry, worker: { ...entry.worker, draining: true }, hasAnnouncedLeaving: true });
    }
  }

  /** Instances that have announced that they are leaving and whose registrations do not say so. */
  announcedLeaving(): readonly WorkerInstance[] {
    return this.all().filter(({ hasAnnouncedLeaving: hasAnnounced }) => hasAnnounced)
      .map(({ worker: { id, bornAt } }) => ({ id, bornAt }));
  }

  /** Updates the group of a worker from its report, ahead of its registration. */
  updateGroup(id: WorkerId, group: GroupMembership | null, model: ModelName | null): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#set({ ...entry, group, models: model === null ? entry.worker.models : [model] });
    }
  }

  /** Whether this instance has withdrawn its registration, so that it does not return. */
  isWithdrawn(instance: WorkerInstance): boolean {
    return this.#withdrawals.has(instance);
  }

  /** Withdrawn instances, for processes that have not seen the withdrawal. */
  withdrawn(): readonly WorkerInstance[] {
    return this.#withdrawals.all();
  }

  /** Merges withdrawals that another process has seen. */
  mergeWithdrawn(instances: readonly WorkerInstance[]): void {
    instances.filter(({ id }) => !this.#entries.has(id))
      .forEach((instance) => this.#withdrawals.add(instance));
  }

  /**
   * Adds a worker that answers the holder of the lease but has no registration here. Ignored unless the
   * store has recently recovered, and for instances that are withdrawn or leaving.
   */
  putUnregistered(worker: Worker, group: GroupMembership | null, model: ModelName | null): void {
    if (this.isRecovering && !this.#entries.has(worker.id)
      && !this.isWithdrawn(worker) && !this.#departures.has(worker)) {
      const now = this.#clock.monotonicMilliseconds();
      this.#set({
        worker,
        group,
        models: model === null ? [] : [model],
        coldUntil: now,
        lapsedAt: now,
        hasAnnouncedLeaving: false,
      });
    }
  }

  /** Handles the end of a registration: the worker is removed, or kept if its registration may return. */
  remove(id: WorkerId): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      return;
    }
    if (this.isRecovering && !entry.worker.draining) {
      this.#set({ ...entry, lapsedAt: entry.lapsedAt ?? this.#clock.monotonicMilliseconds() });
    } else {
      this.#delete(entry);
    }
  }

  /** Removes lapsed workers whose registrations have not returned in time. */
  expire(): void {
    if (!this.isRecovering) {
      this.all().filter(({ lapsedAt }) => lapsedAt !== null).forEach((entry) => this.#delete(entry));
    }
  }

  #recordDeparture(instance: WorkerInstance): void {
    if (!this.#departures.has(instance)) {
      this.#departures.add(instance);
      this.#leavingListeners.forEach((listener) => listener(instance.id));
    }
  }

  #set(entry: WorkerEntry): void {
    const { id, service, address } = entry.worker;
    this.#removeAddress(id);
    this.#entries.set(id, entry);
    this.#byAddress.set(address, (this.#byAddress.get(address) ?? new Set<WorkerId>()).add(id));
    const workers = this.#byService.get(service) ?? new Map<WorkerId, WorkerEntry>();
    workers.set(id, entry);
    this.#byService.set(service, workers);
  }

  /** Removes a worker from the index of the address that it is registered at. */
  #removeAddress(id: WorkerId): void {
    const address = this.#entries.get(id)?.worker.address;
    const workers = address === undefined ? undefined : this.#byAddress.get(address);
    workers?.delete(id);
    if (address !== undefined && workers?.size === 0) {
      this.#byAddress.delete(address);
    }
  }

  #delete(entry: WorkerEntry): void {
    this.#withdrawals.add(entry.worker);
    this.#removeAddress(entry.worker.id);
    this.#entries.delete(entry.worker.id);
    this.#byService.get(entry.worker.service)?.delete(entry.worker.id);
    this.#removedListeners.forEach((listener) => listener(entry.worker.id));
  }
}
