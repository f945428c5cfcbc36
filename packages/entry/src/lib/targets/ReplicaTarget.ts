import {
  type Clock, type Replica, type ReplicaMember, type RequestId,
} from '@dandelionlane/core';
import {
  assessReplica, ConcurrencyLimiter, InFlightTokenTracker,
  type DispatchTicket, type GrantSnapshot, type MemberIncarnation, type ReplicaAssessment,
  type TargetView, type ReceivedReport,
} from '@dandelionlane/routing';

/** Dependencies and settings of a `ReplicaTarget`. */
interface ReplicaTargetOptions {
  readonly clock: Clock;
  readonly freshnessMilliseconds: number;
  /** Whether a VM receives no new requests because operators took it or its zone out of service. */
  readonly isOut: (member: ReplicaMember) => boolean;
  readonly observationsOf: (members: readonly ReplicaMember[]) => readonly ReceivedReport[];
  /** When the oldest of the polls that returned the current reports of these members was sent. */
  readonly oldestPollAtOf: (members: readonly ReplicaMember[]) => number;
}

/** A replica as a target of this entry: its row, concurrency limiter and requests in flight. */
export default class ReplicaTarget {
  readonly #options: ReplicaTargetOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #work = new InFlightTokenTracker();

  #replica: Replica;

  /** Incarnations of the members when the replica was first whole. It is whole only with the same ones. */
  #formationIncarnations: readonly MemberIncarnation[] | undefined;

  #coldShare: number;

  /** When the requests were sent that may not be covered by the current reports. */
  #unobservedSendTimes: readonly number[] = [];

  #assessment: ReplicaAssessment = { kind: 'not-whole', reason: 'member-unseen', vm: null };

  constructor(options: ReplicaTargetOptions, replica: Replica, snapshot: GrantSnapshot) {
    this.#options = options;
    this.#replica = replica;
    this.#limiter = new ConcurrencyLimiter(snapshot);
    this.#coldShare = snapshot.grant.cold;
  }

  get replica(): Replica {
    return this.#replica;
  }

  /** The member that receives requests. */
  get leader(): ReplicaMember | undefined {
    return this.#replica.members[0];
  }

  get inFlight(): number {
    return this.#limiter.inFlight;
  }

  get assessment(): ReplicaAssessment {
    return this.#assessment;
  }

  update(replica: Replica, snapshot: GrantSnapshot): void {
    this.#replica = replica;
    this.#limiter.updateGrant(snapshot);
    this.#coldShare = snapshot.grant.cold;
  }

  /**
   * Reassesses the replica from the reports of its members. A member that restarts in another
   * incarnation does not make the replica whole again, even if its report names the replica, since
   * the other members are not joined to that incarnation. A rebuilt replica has a new id.
   */
  assess(): ReplicaAssessment {
    this.#assessment = this.#assessMembers();
    if (this.#assessment.kind === 'whole') {
      this.#formationIncarnations = this.#assessment.members;
    }
    this.#limiter.updateAssessment(this.#assessment);
    return this.#assessment;
  }

  /** Whether this entry is granted a share of the replica's capacity in cold start. */
  get hasShare(): boolean {
    return this.#coldShare > 0;
  }

  /**
   * Requests that may be in flight now, by grant and phase. An entry without a cold share sends
   * nothing to a warm replica either, since the replica may have gone back to cold start unnoticed.
   */
  allowed(): number {
    return this.hasShare ? this.#limiter.allowed(this.#options.clock.monotonicMilliseconds()) : 0;
  }

  /**
   * Whether one more request may be sent before the members report again. A return to cold start
   * only shows in the next report, so until then the entry sends at most its cold share of requests.
   */
  canSend(): boolean {
    const polledAt = this.#options.oldestPollAtOf(this.#replica.members);
    this.#unobservedSendTimes = this.#unobservedSendTimes.filter((sentAt) => sentAt >= polledAt);
    return this.#unobservedSendTimes.length < this.#coldShare;
  }

  recordDispatch(request: RequestId, tokens: number): DispatchTicket {
    const now = this.#options.clock.monotonicMilliseconds();
    this.#unobservedSendTimes = [...this.#unobservedSendTimes, now];
    this.#work.recordDispatch(request, tokens, now);
    return this.#limiter.recordDispatch();
  }

  recordCompletion(request: RequestId, ticket: DispatchTicket, outcome: 'success' | 'failure' | 'lost'): void {
    this.#work.recordCompletion(request);
    this.#limiter.recordCompletion(ticket, outcome, this.#options.clock.monotonicMilliseconds());
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
        leaderObservation?.receivedAtMilliseconds ?? now,
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
