import type {
  Clock, EntryId, EntryRecord, Grant, Replica, ReplicaId, ServiceLimits,
} from '@dandelionlane/core';
import {
  listWithdrawnGrants, planGrants, pruneWithdrawnGrants, assumeWithdrawnGrant,
  type GrantPlanInput, type ReceivedReport, type WithdrawnGrant,
} from '@dandelionlane/routing';
import type GrantAcknowledgement from './GrantAcknowledgement.js';

/** What a plan of one replica's grants reads. */
interface GrantQuestion {
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
 * Plans the grants of each replica and remembers the shares taken back.
 *
 * Cold shares move only when their former holder can no longer use them. Warm
 * shares move at once: a warm replica queues what goes beyond its batch, and a
 * lost entry must not take a third of the capacity with it.
 */
export default class GrantKeeper {
  readonly #clock: Clock;

  readonly #withdrawn = new Map<ReplicaId, readonly WithdrawnGrant[]>();

  readonly #records = new Map<EntryId, EntryRecord>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Entries that hold a share which was taken back, and whose acknowledgement is awaited. */
  awaited(): readonly EntryRecord[] {
    const entries = new Set([...this.#withdrawn.values()].flat()
      .filter(({ holder }) => holder.kind === 'unknown')
      .map(({ entry }) => entry)
      .filter((entry) => entry !== null));
    return [...entries].map((entry) => this.#records.get(entry)).filter((record) => record !== undefined);
  }

  /** New grants for a replica, or null while the present ones stay. */
  plan(question: GrantQuestion): readonly Grant[] | null {
    const input = this.#inputFor(question);
    const settled = pruneWithdrawnGrants(input);
    this.#withdrawn.set(question.replica.replica, settled);
    const cold = planGrants({ ...input, withdrawn: settled });
    const warm = planGrants({ ...input, withdrawn: [] });
    const grants = warm
      .map((grant) => ({ ...grant, cold: cold.find(({ entry }) => entry === grant.entry)?.cold ?? 0 }))
      .concat(cold.filter(({ entry }) => !warm.some((grant) => grant.entry === entry)));
    return isSameGrants(grants, question.replica.grants) ? null : grants;
  }

  /** Notes that new grants were written. */
  committed(replica: ReplicaId, previous: readonly Grant[], planned: readonly Grant[]): void {
    const taken = listWithdrawnGrants(previous, planned, this.#clock.monotonicMilliseconds());
    this.#withdrawn.set(replica, [...this.#withdrawn.get(replica) ?? [], ...taken]);
  }

  /** Takes in which incarnation of each entry is alive: shares of an earlier one are no longer in use. */
  hearEntries(entries: readonly EntryRecord[]): void {
    entries.forEach((record) => {
      const known = this.#records.get(record.entry);
      this.#records.set(record.entry, record);
      if (known !== undefined && record.incarnation > known.incarnation) {
        this.gone(record.entry);
      }
    });
  }

  /** Takes in that an entry's process has ended. */
  gone(entry: EntryId): void {
    const sinceMilliseconds = this.#clock.monotonicMilliseconds();
    this.#settle(entry, (withdrawn) => ({ ...withdrawn, holder: { kind: 'gone', sinceMilliseconds } }));
  }

  /** Takes in what an entry said of a replica after it had read the present row. */
  acknowledge(acknowledgement: GrantAcknowledgement): void {
    const { entry, replica, inFlight } = acknowledgement;
    const sinceMilliseconds = this.#clock.monotonicMilliseconds();
    this.#settle(entry, (withdrawn) => ({
      ...withdrawn,
      holder: { kind: 'acknowledged', sinceMilliseconds, excess: { cold: inFlight, warm: inFlight } },
    }), replica);
  }

  forgetAllBut(replicas: ReadonlySet<ReplicaId>): void {
    [...this.#withdrawn.keys()]
      .filter((replica) => !replicas.has(replica))
      .forEach((replica) => this.#withdrawn.delete(replica));
  }

  #settle(
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

  #inputFor({
    replica, limits, homes, target,
  }: GrantQuestion): GrantPlanInput {
    const now = this.#clock.monotonicMilliseconds();
    return {
      replica: replica.replica,
      limits,
      homes: homes.map(({ entry }) => entry),
      previous: replica.grants,
      withdrawn: this.#withdrawn.get(replica.replica) ?? this.#initial(replica, limits, now),
      target,
      monotonicMilliseconds: now,
    };
  }

  /** A replica that never had grants owes nothing; else a former planner may have taken shares back. */
  // eslint-disable-next-line class-methods-use-this -- belongs to the planning of grants
  #initial(replica: Replica, limits: ServiceLimits, now: number): readonly WithdrawnGrant[] {
    return replica.grants.length === 0 ? [] : [assumeWithdrawnGrant(limits, replica.grants, now)];
  }
}
