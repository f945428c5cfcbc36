import {
  type Clock, type Replica, type ReplicaMember, type RequestId,
} from '@dandelionlane/core';
import {
  assessReplica, ConcurrencyLimiter, OwnWork,
  type DispatchTicket, type GrantReading, type MemberIncarnation, type ReplicaAssessment,
  type TargetView, type VMSighting,
} from '@dandelionlane/routing';

/** What a `ReplicaSlot` needs from outside. */
interface ReplicaSlotOptions {
  readonly clock: Clock;
  readonly freshnessMilliseconds: number;
  /** Whether new work for a VM is over because operators took it or its zone out. */
  readonly isOut: (member: ReplicaMember) => boolean;
  readonly sightingsOf: (members: readonly ReplicaMember[]) => readonly VMSighting[];
}

/** One replica as this entry uses it: its row, its limiter and the own work in flight there. */
export default class ReplicaSlot {
  readonly #options: ReplicaSlotOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #work = new OwnWork();

  #replica: Replica;

  /** The members' process starts when the replica was first seen whole. */
  #formedBy: readonly MemberIncarnation[] | undefined;

  #assessment: ReplicaAssessment = { kind: 'not-whole', reason: 'member-unseen', vm: null };

  constructor(options: ReplicaSlotOptions, replica: Replica, reading: GrantReading) {
    this.#options = options;
    this.#replica = replica;
    this.#limiter = new ConcurrencyLimiter(reading);
  }

  get replica(): Replica {
    return this.#replica;
  }

  /** The member that takes requests. */
  get leader(): ReplicaMember | undefined {
    return this.#replica.members[0];
  }

  get inFlight(): number {
    return this.#limiter.inFlight;
  }

  get assessment(): ReplicaAssessment {
    return this.#assessment;
  }

  update(replica: Replica, reading: GrantReading): void {
    this.#replica = replica;
    this.#limiter.updateGrant(reading);
  }

  /**
   * Judges the replica anew from the sightings of its members. A member that comes back
   * in another incarnation does not make the replica whole again, even if it carries the
   * replica: the others were not joined to it. A rebuilt replica has an id of its own.
   */
  assess(): ReplicaAssessment {
    this.#assessment = this.#assessMembers();
    if (this.#assessment.kind === 'whole') {
      this.#formedBy = this.#assessment.members;
    }
    this.#limiter.assess(this.#assessment);
    return this.#assessment;
  }

  /** Requests that may be in flight now, by grant and phase. */
  allowed(): number {
    return this.#limiter.allowed(this.#options.clock.monotonicMilliseconds());
  }

  dispatched(request: RequestId, tokens: number): DispatchTicket {
    this.#work.dispatched(request, tokens, this.#options.clock.monotonicMilliseconds());
    return this.#limiter.dispatched();
  }

  finished(request: RequestId, ticket: DispatchTicket, outcome: 'success' | 'failure'): void {
    this.#work.finished(request);
    this.#limiter.finished(ticket, outcome, this.#options.clock.monotonicMilliseconds());
  }

  view(health: TargetView['health'], slowness: number): TargetView {
    const now = this.#options.clock.monotonicMilliseconds();
    const [leaderSighting] = this.#options.sightingsOf(this.#replica.members.slice(0, 1));
    return {
      replica: this.#replica.replica,
      availabilityZone: (this.#replica.members[0] as ReplicaMember).availabilityZone,
      assessment: this.assess(),
      available: this.#limiter.available(now),
      load: this.#work.estimate(
        leaderSighting?.report.outstandingTokens ?? 0,
        leaderSighting?.seenAtMilliseconds ?? now,
        now,
      ),
      cachedPrefixTokens: 0,
      health,
      slowness,
    };
  }

  #assessMembers(): ReplicaAssessment {
    const {
      clock, freshnessMilliseconds, isOut, sightingsOf,
    } = this.#options;
    const { members } = this.#replica;
    const out = members.find((member) => isOut(member));
    if (out !== undefined) {
      return { kind: 'not-whole', reason: 'replica-not-serving', vm: out.vm };
    }
    const now = clock.monotonicMilliseconds();
    return assessReplica(this.#replica, sightingsOf(members), now, freshnessMilliseconds, this.#formedBy);
  }
}
