import {
  ServicePlacement,
  type Clock, type EntryId, type Grant, type Replica, type ReplicaId, type ReplicaMember, type RowVersion,
  type ServiceId, type TableRow,
} from '@dandelionlane/core';
import { LatencyTracker, type TargetView, type ReceivedReport } from '@dandelionlane/routing';
import ReplicaTarget from './ReplicaTarget.js';

/** Dependencies and settings of a `ServiceTargets`. */
interface ServiceTargetsOptions {
  readonly entry: EntryId;
  readonly clock: Clock;
  readonly freshnessMilliseconds: number;
  readonly isOut: (member: ReplicaMember) => boolean;
  readonly observationsOf: (members: readonly ReplicaMember[]) => readonly ReceivedReport[];
  readonly oldestPollAtOf: (members: readonly ReplicaMember[]) => number;
}

/** The replicas of one service at a home entry. */
export default class ServiceTargets {
  readonly service: ServiceId;

  readonly latency = new LatencyTracker();

  readonly #options: ServiceTargetsOptions;

  #replicaTargets = new Map<ReplicaId, ReplicaTarget>();

  #version: RowVersion | -1 = -1;

  constructor(service: ServiceId, options: ServiceTargetsOptions) {
    this.service = service;
    this.#options = options;
  }

  get version(): number {
    return this.#version;
  }

  replicaTargets(): Iterable<ReplicaTarget> {
    return this.#replicaTargets.values();
  }

  replicaTarget(replica: ReplicaId): ReplicaTarget | undefined {
    return this.#replicaTargets.get(replica);
  }

  members(): readonly ReplicaMember[] {
    return [...this.#replicaTargets.values()].flatMap((target) => target.replica.members);
  }

  /** Members of the replicas that serve according to the row, but are not whole by the reports. */
  unconfirmedMembers(): readonly ReplicaMember[] {
    return [...this.#replicaTargets.values()].filter((target) => {
      const assessment = target.assess();
      return assessment.kind === 'not-whole' && assessment.reason !== 'replica-not-serving';
    }).flatMap((target) => target.replica.members);
  }

  /**
   * Applies a placement row from a read that began at `readAtMilliseconds` on the monotonic
   * clock. Ignores a row older than the one already applied (a stale read) and a missing row.
   * Returns false for a malformed row, which is ignored too.
   */
  applyRow(row: TableRow, readAtMilliseconds: number): boolean {
    if (row.version < this.#version || row.value === null) {
      return true;
    }
    const parsed = ServicePlacement.safeParse(row.value);
    if (!parsed.success) {
      return false;
    }
    this.#version = row.version;
    this.#replicaTargets = new Map(parsed.data.replicas.map((replica) => [
      replica.replica, this.#createOrUpdateTarget(replica, row.version, readAtMilliseconds),
    ]));
    this.latency.refresh([...this.#replicaTargets.keys()], this.#options.clock.monotonicMilliseconds());
    return true;
  }

  assess(): void {
    this.#replicaTargets.forEach((target) => target.assess());
  }

  /** Whether this entry has a cold share of any replica. */
  hasShare(): boolean {
    return [...this.#replicaTargets.values()].some((target) => target.hasShare);
  }

  hasWholeReplica(): boolean {
    return [...this.#replicaTargets.values()].some((target) => target.assess().kind === 'whole');
  }

  /** Total number of requests that this entry may have in flight across all replicas. */
  capacity(): number {
    let total = 0;
    this.#replicaTargets.forEach((target) => {
      total += target.allowed();
    });
    return total;
  }

  views(): readonly TargetView[] {
    const now = this.#options.clock.monotonicMilliseconds();
    return [...this.#replicaTargets.values()].map((target) => target.view(
      this.latency.healthOf(target.replica.replica, now),
      this.latency.slownessOf(target.replica.replica),
    ));
  }

  #createOrUpdateTarget(replica: Replica, version: RowVersion, readAtMilliseconds: number): ReplicaTarget {
    const grant: Grant = replica.grants.find(({ entry }) => entry === this.#options.entry)
      ?? { entry: this.#options.entry, cold: 0, warm: 0 };
    const snapshot = { grant, version, readAtMilliseconds };
    const target = this.#replicaTargets.get(replica.replica);
    if (target === undefined) {
      return new ReplicaTarget(this.#options, replica, snapshot);
    }
    target.update(replica, snapshot);
    return target;
  }
}
