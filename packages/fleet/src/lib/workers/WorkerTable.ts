import type {
  Clock, ModelName, ServiceId, WorkerId,
} from '@dandelionlane/core';
import type GroupMembership from './GroupMembership.js';
import WorkerInstanceSet from './WorkerInstanceSet.js';
import type Worker from './Worker.js';
import type WorkerEntry from './WorkerEntry.js';
import type WorkerInstance from './WorkerInstance.js';

/**
 * After an outage of the store, registrations that lapsed meanwhile return within about two
 * seconds (platform's contract); until then a vanished worker is kept, in ms.
 */
const REGISTRATION_RETURN_MILLISECONDS = 2_200;

/** Workers that are registered, as this process last heard. */
export default class WorkerTable {
  readonly #clock: Clock;

  readonly #entries = new Map<WorkerId, WorkerEntry>();

  readonly #byService = new Map<ServiceId, Map<WorkerId, WorkerEntry>>();

  /** Lives whose registration has ended for good, as opposed to one that lapsed while the store was away. */
  readonly #withdrawals = new WorkerInstanceSet();

  /** Lives that have told that they leave. A life never takes that back. */
  readonly #departures = new WorkerInstanceSet();

  readonly #removedListeners: ((worker: WorkerId) => void)[] = [];

  readonly #leavingListeners: ((worker: WorkerId) => void)[] = [];

  #storeReturnedAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls a listener with each worker that is no longer in the table. */
  onRemoved(listener: (worker: WorkerId) => void): void {
    this.#removedListeners.push(listener);
  }

  /** Calls a listener with each worker of which it becomes known that it leaves. */
  onLeaving(listener: (worker: WorkerId) => void): void {
    this.#leavingListeners.push(listener);
  }

  get(id: WorkerId): WorkerEntry | undefined {
    return this.#entries.get(id);
  }

  ofService(service: ServiceId): readonly WorkerEntry[] {
    return [...(this.#byService.get(service)?.values() ?? [])];
  }

  all(): readonly WorkerEntry[] {
    return [...this.#entries.values()];
  }

  /** Notes that the store answers again after an outage. */
  recordStoreRecovery(): void {
    this.#storeReturnedAt = this.#clock.monotonicMilliseconds();
  }

  /** Whether registrations may be missing that return: the store was away until a moment ago. */
  get isRecovering(): boolean {
    return this.#clock.monotonicMilliseconds() - this.#storeReturnedAt < REGISTRATION_RETURN_MILLISECONDS;
  }

  put(registration: Worker): void {
    this.#withdrawals.delete(registration.id);
    if (registration.draining) {
      this.#noteDeparture(registration);
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
   * Takes a registration over that a copy of the store holds. It is older than what this process has
   * seen: a worker that has withdrawn does not come back with it, and of a life that is known
   * only its departure is news. Returns whether the worker is registered.
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
   * Notes that a life of a worker has told that it leaves, ahead of its registration or without one:
   * it gets no new work until it ends.
   */
  markLeaving(life: WorkerInstance): void {
    this.#noteDeparture(life);
    const entry = this.#entries.get(life.id);
    if (entry !== undefined && !entry.worker.draining && this.#departures.has(entry.worker)) {
      this.#set({ ...entry, worker: { ...entry.worker, draining: true }, hasAnnouncedLeaving: true });
    }
  }

  /** Lives that have told that they leave, and whose registrations do not say so. */
  announcedLeaving(): readonly WorkerInstance[] {
    return this.all().filter(({ hasAnnouncedLeaving: hasAnnounced }) => hasAnnounced)
      .map(({ worker: { id, bornAt } }) => ({ id, bornAt }));
  }

  /** Takes a worker's group over from its own report, ahead of its registration. */
  updateGroup(id: WorkerId, group: GroupMembership | null, model: ModelName | null): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#set({ ...entry, group, models: model === null ? entry.worker.models : [model] });
    }
  }

  /** Whether this life of a worker has withdrawn its registration, so that it does not return. */
  isWithdrawn(life: WorkerInstance): boolean {
    return this.#withdrawals.has(life);
  }

  /** Lives of workers that have withdrawn, for processes that have not seen it. */
  withdrawn(): readonly WorkerInstance[] {
    return this.#withdrawals.all();
  }

  /** Takes over what another process knows of withdrawals. */
  mergeWithdrawn(lives: readonly WorkerInstance[]): void {
    lives.filter(({ id }) => !this.#entries.has(id)).forEach((life) => this.#withdrawals.add(life));
  }

  /**
   * Takes in a worker that answers the holder of the lease and whose registration is missing here. It
   * counts only while registrations may be missing that return, and not after it has withdrawn.
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

  /** The registration is gone. */
  remove(id: WorkerId): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      return;
    }
    if (this.isRecovering && !entry.worker.draining) {
      this.#set({ ...entry, lapsedAt: entry.lapsedAt ?? this.#clock.monotonicMilliseconds() });
    } else {
      this.#drop(entry);
    }
  }

  /** Drops lapsed workers that have not returned in time. */
  expire(): void {
    if (!this.isRecovering) {
      this.all().filter(({ lapsedAt }) => lapsedAt !== null).forEach((entry) => this.#drop(entry));
    }
  }

  #noteDeparture(life: WorkerInstance): void {
    if (!this.#departures.has(life)) {
      this.#departures.add(life);
      this.#leavingListeners.forEach((listener) => listener(life.id));
    }
  }

  #set(entry: WorkerEntry): void {
    const { id, service } = entry.worker;
    this.#entries.set(id, entry);
    const workers = this.#byService.get(service) ?? new Map<WorkerId, WorkerEntry>();
    workers.set(id, entry);
    this.#byService.set(service, workers);
  }

  #drop(entry: WorkerEntry): void {
    this.#withdrawals.add(entry.worker);
    this.#entries.delete(entry.worker.id);
    this.#byService.get(entry.worker.service)?.delete(entry.worker.id);
    this.#removedListeners.forEach((listener) => listener(entry.worker.id));
  }
}
