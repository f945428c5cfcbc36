import {
  type Clock, type Replica, type ReplicaMember, type RequestId,
} from '@dandelionlane/core';
import {
  assessReplica, ConcurrencyLimiter, OwnWork,
  type DispatchTicket, type GrantReading, type MemberIncarnation, type ReplicaAssessment,
  type TargetView, type VMSighting,
} from '@dandelionlane/routing';

/** What a `ReplicaSlot` needs from outside. */
interface ReplicaTargetOptions {
  readonly clock: Clock;
  readonly freshnessMilliseconds: number;
  /** Whether new work for a VM is over because operators took it or its zone out. */
  readonly isOut: (member: ReplicaMember) => boolean;
  readonly observationsOf: (members: readonly ReplicaMember[]) => readonly VMSighting[];
  /** When the questions went out whose answers are the present sightings, the earliest of them. */
  readonly oldestPollAtOf: (members: readonly ReplicaMember[]) => number;
}

/** One replica as this entry uses it: its row, its limiter and the own work in flight there. */
export default class ReplicaTarget {
  readonly #options: ReplicaTargetOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #work = new OwnWork();

  #replica: Replica;

  /** The members' process starts when the replica was first seen whole. */
  #formationIncarnations: readonly MemberIncarnation[] | undefined;

  #coldShare: number;

  /** When the requests went out that no sighting covers yet. */
  #unobservedSendTimes: readonly number[] = [];

  #assessment: ReplicaAssessment = { kind: 'not-whole', reason: 'member-unseen', vm: null };

  constructor(options: ReplicaTargetOptions, replica: Replica, reading: GrantReading) {
    this.#options = options;
    this.#replica = replica;
    this.#limiter = new ConcurrencyLimiter(reading);
    this.#coldShare = reading.grant.cold;
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
    this.#coldShare = reading.grant.cold;
  }

  /**
   * Judges the replica anew from the sightings of its members. A member that comes back
   * in another incarnation does not make the replica whole again, even if it carries the
   * replica: the others were not joined to it. A rebuilt replica has an id of its own.
   */
  assess(): ReplicaAssessment {
    this.#assessment = this.#assessMembers();
    if (this.#assessment.kind === 'whole') {
      this.#formationIncarnations = this.#assessment.members;
    }
    this.#limiter.assess(this.#assessment);
    return this.#assessment;
  }

  /** Whether this entry has a share of what the replica bears in cold start. */
  get hasShare(): boolean {
    return this.#coldShare > 0;
  }

  /**
   * Requests that may be in flight now, by grant and phase. An entry without a cold
   * share sends nothing to a warm replica either, since it may have fallen back unseen.
   */
  allowed(): number {
    return this.hasShare ? this.#limiter.allowed(this.#options.clock.monotonicMilliseconds()) : 0;
  }

  /**
   * Whether one more request may be sent before the replica is seen again. A fall back
   * into cold start shows in the next sighting only: until then no more is sent than
   * the entry's share of what a cold replica bears.
   */
  canSend(): boolean {
    const polledAt = this.#options.oldestPollAtOf(this.#replica.members);
    this.#unobservedSendTimes = this.#unobservedSendTimes.filter((sentAt) => sentAt >= polledAt);
    return this.#unobservedSendTimes.length < this.#coldShare;
  }

  recordDispatch(request: RequestId, tokens: number): DispatchTicket {
    const now = this.#options.clock.monotonicMilliseconds();
    this.#unobservedSendTimes = [...this.#unobservedSendTimes, now];
    this.#work.dispatched(request, tokens, now);
    return this.#limiter.dispatched();
  }

  recordCompletion(request: RequestId, ticket: DispatchTicket, outcome: 'success' | 'failure' | 'lost'): void {
    this.#work.finished(request);
    this.#limiter.finished(ticket, outcome, this.#options.clock.monotonicMilliseconds());
  }

  view(health: TargetView['health'], slowness: number): TargetView {
    const now = this.#options.clock.monotonicMilliseconds();
    const [leaderObservation] = this.#options.observationsOf(this.#replica.members.slice(0, 1));
    return {
      replica: this.#replica.replica,
      availabilityZone: (this.#replica.members[0] as ReplicaMember).availabilityZone,
      assessment: this.assess(),
      available: this.hasShare ? this.#limiter.available(now) : 0,
      load: this.#work.estimate(
        leaderObservation?.report.outstandingTokens ?? 0,
        leaderObservation?.seenAtMilliseconds ?? now,
        now,
      ),
      cachedPrefixTokens: 0,
      health,
      slowness,
    };
  }

  #assessMembers(): ReplicaAssessment {
    const {
      clock, freshnessMilliseconds, isOut, observationsOf,
    } = this.#options;
    const { members } = this.#replica;
    const outOfService = members.find((member) => isOut(member));
    if (outOfService !== undefined) {
      return { kind: 'not-whole', reason: 'replica-not-serving', vm: outOfService.vm };
    }
    const now = clock.monotonicMilliseconds();
    return assessReplica(
      this.#replica,
      observationsOf(members),
      now,
      freshnessMilliseconds,
      this.#formationIncarnations,
    );
  }
}
