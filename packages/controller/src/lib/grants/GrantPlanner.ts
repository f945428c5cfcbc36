import type {
  Clock, EntryId, EntryRecord, Grant, Replica, ReplicaId, ServiceLimits,
} from '@dandelionlane/core';
import {
  listWithdrawnGrants, planGrants, pruneWithdrawnGrants, assumeWithdrawnGrant,
  type GrantPlanInput, type ReceivedReport, type WithdrawnGrant,
} from '@dandelionlane/routing';
import type GrantAcknowledgement from './GrantAcknowledgement.js';

/** Input for planning the grants of one replica. */
interface GrantContext {
  readonly replica: Replica;
  readonly limits: ServiceLimits;
  readonly homes: readonly EntryRecord[];
  readonly target: ReceivedReport | undefined;
}

function isSameGrants(left: readonly Grant[], right: readonly Grant[]): boolean {
  return left.length === right.length && left.every((grant) => right.some((other) => (
    other.entry === grant.entry && other.cold === grant.cold && other.warm === grant.warm
  )));
}

/**
 * Plans the grants of each replica and tracks withdrawn shares.
 *
 * Cold shares are reassigned only when their former holder can no longer use them. Warm shares are
 * reassigned at once: a warm replica queues requests beyond its batch, and losing an entry must not
 * cost a third of the capacity.
 */
export default class GrantPlanner {
  readonly #clock: Clock;

  readonly #withdrawn = new Map<ReplicaId, readonly WithdrawnGrant[]>();

  readonly #records = new Map<EntryId, EntryRecord>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Entries that have not yet acknowledged the withdrawal of a share. */
  unacknowledgedEntries(): readonly EntryRecord[] {
    const entries = new Set([...this.#withdrawn.values()].flat()
      .filter(({ holder }) => holder.kind === 'unknown')
      .map(({ entry }) => entry)
      .filter((entry) => entry !== null));
    return [...entries].map((entry) => this.#records.get(entry)).filter((record) => record !== undefined);
  }

  /** Plans new grants for a replica; null when they equal the current ones. */
  plan(context: GrantContext): readonly Grant[] | null {
    const input = this.#createInput(context);
    const settled = pruneWithdrawnGrants(input);
    this.#withdrawn.set(context.replica.replica, settled);
    const cold = planGrants({ ...input, withdrawn: settled });
    const warm = planGrants({ ...input, withdrawn: [] });
    const grants = warm
      .map((grant) => ({ ...grant, cold: cold.find(({ entry }) => entry === grant.entry)?.cold ?? 0 }))
      .concat(cold.filter(({ entry }) => !warm.some((grant) => grant.entry === entry)));
    return isSameGrants(grants, context.replica.grants) ? null : grants;
  }

  /** Records that new grants were committed, and which shares they withdraw. */
  recordCommitted(replica: ReplicaId, previous: readonly Grant[], planned: readonly Grant[]): void {
    const newlyWithdrawn = listWithdrawnGrants(previous, planned, this.#clock.monotonicMilliseconds());
    this.#withdrawn.set(replica, [...this.#withdrawn.get(replica) ?? [], ...newlyWithdrawn]);
  }

  /** Updates the live incarnation of each entry; shares of an earlier incarnation are no longer in use. */
  updateEntries(entries: readonly EntryRecord[]): void {
    entries.forEach((record) => {
      const lastRecord = this.#records.get(record.entry);
      this.#records.set(record.entry, record);
      if (lastRecord !== undefined && record.incarnation > lastRecord.incarnation) {
        this.recordEntryGone(record.entry);
      }
    });
  }

  /** Records that an entry's process has ended. */
  recordEntryGone(entry: EntryId): void {
    const sinceMilliseconds = this.#clock.monotonicMilliseconds();
    this.#updateHolders(entry, (withdrawn) => ({ ...withdrawn, holder: { kind: 'gone', sinceMilliseconds } }));
  }

  /** Records an entry's requests in flight on a replica after it has read the current row. */
  recordAcknowledgement(acknowledgement: GrantAcknowledgement): void {
    const { entry, replica, inFlight } = acknowledgement;
    const sinceMilliseconds = this.#clock.monotonicMilliseconds();
    this.#updateHolders(entry, (withdrawn) => ({
      ...withdrawn,
      holder: { kind: 'acknowledged', sinceMilliseconds, excess: { cold: inFlight, warm: inFlight } },
    }), replica);
  }

  retainOnly(replicas: ReadonlySet<ReplicaId>): void {
    [...this.#withdrawn.keys()]
      .filter((replica) => !replicas.has(replica))
      .forEach((replica) => this.#withdrawn.delete(replica));
  }

  #updateHolders(
    entry: EntryId,
    change: (withdrawn: WithdrawnGrant) => WithdrawnGrant,
    only?: ReplicaId,
  ): void {
    this.#withdrawn.forEach((list, replica) => {
      if (only === undefined || only === replica) {
        this.#withdrawn.set(replica, list.map((withdrawn) => (
          withdrawn.entry === entry && withdrawn.holder.kind === 'unknown' ? change(withdrawn) : withdrawn
        )));
      }
    });
  }

  #createInput({
    replica, limits, homes, target,
  }: GrantContext): GrantPlanInput {
    const now = this.#clock.monotonicMilliseconds();
    return {
      replica: replica.replica,
      limits,
      homes: homes.map(({ entry }) => entry),
      previous: replica.grants,
      withdrawn: this.#withdrawn.get(replica.replica) ?? this.#initialWithdrawn(replica, limits, now),
      target,
      monotonicMilliseconds: now,
    };
  }

  /** A replica without grants has no withdrawn shares; otherwise a former planner may have withdrawn some. */
  // eslint-disable-next-line class-methods-use-this -- part of grant planning
  #initialWithdrawn(replica: Replica, limits: ServiceLimits, now: number): readonly WithdrawnGrant[] {
    return replica.grants.length === 0 ? [] : [assumeWithdrawnGrant(limits, replica.grants, now)];
  }
}
