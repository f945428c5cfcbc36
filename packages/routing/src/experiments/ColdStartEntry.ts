import {
  AvailabilityZoneId, EntryId, Incarnation, ReplicaId, RequestId, RowVersion, TeamId, VMId, type RandomSource,
} from '@dandelionlane/core';
import {
  AdmissionQueue, chooseTarget, ConcurrencyLimiter, InFlightTokenTracker,
  type DispatchTicket, type TargetView, type WholeReplica,
} from '../index.js';
import type ColdStartPolicy from './ColdStartPolicy.js';
import type RequestSize from './RequestSize.js';
import type FakeEngine from './FakeEngine.js';
import type Simulation from './Simulation.js';

const FRESHNESS_MILLISECONDS = 3_000;
const QUEUE_MILLISECONDS = 1_000;
const TIMEOUT_MILLISECONDS = 60_000;
const ZONE = AvailabilityZoneId.parse('zone-a');
const TEAM = TeamId.parse('team');

/** An entry's state for one engine. */
interface EngineState {
  readonly engine: FakeEngine;
  readonly replica: ReplicaId;
  readonly limiter: ConcurrencyLimiter;
  readonly inFlightTokens: InFlightTokenTracker;
  whole: WholeReplica | null;
  reportedTokens: number;
}

/** Counts of requests by outcome. */
interface ColdOutcome {
  answered: number;
  failed: number;
  refused: number;
}

/** An entry that serves cold-starting engines with admission, target choice and concurrency limiters. */
export default class ColdStartEntry {
  readonly outcome: ColdOutcome = { answered: 0, failed: 0, refused: 0 };

  #simulation: Simulation;

  #random: RandomSource;

  #policy: ColdStartPolicy;

  #cold: number;

  #warm: number;

  #states: EngineState[];

  #queue: AdmissionQueue;

  #sizes = new Map<RequestId, RequestSize>();

  #sent = 0;

  constructor(
    simulation: Simulation,
    random: RandomSource,
    engines: readonly FakeEngine[],
    policy: ColdStartPolicy,
    shares: { readonly cold: number; readonly warm: number },
  ) {
    this.#simulation = simulation;
    this.#random = random;
    this.#policy = policy;
    this.#cold = shares.cold;
    this.#warm = shares.warm;
    const grant = { entry: EntryId.parse('entry'), cold: shares.cold, warm: shares.warm };
    this.#states = engines.map((engine, index) => ({
      engine,
      replica: ReplicaId.parse(`replica-${index}`),
      limiter: new ConcurrencyLimiter({ grant, version: RowVersion.parse(1), readAtMilliseconds: 0 }),
      inFlightTokens: new InFlightTokenTracker(),
      whole: null,
      reportedTokens: 0,
    }));
    this.#queue = new AdmissionQueue({
      capacity: 0, maximumQueued: 1_000, initialServiceMilliseconds: 3_000, weightOf: () => 1,
    });
    simulation.every(50, 50, () => {
      this.#queue.expire(simulation.now).forEach(({ requestId }) => this.#refuse(requestId));
      this.#updateCapacity();
    });
  }

  recordReport(index: number, report: ReturnType<FakeEngine['report']>): void {
    const state = this.#states[index];
    if (state === undefined) {
      return;
    }
    const { now } = this.#simulation;
    const member = { vm: VMId.parse(`vm-${index}`), incarnation: Incarnation.parse(report.incarnation) };
    state.whole = {
      kind: 'whole',
      phase: report.phase,
      members: [member],
      receivedAtMilliseconds: now,
      freshUntilMilliseconds: now + FRESHNESS_MILLISECONDS,
    };
    state.reportedTokens = report.outstandingTokens;
    state.limiter.updateAssessment(state.whole);
    this.#updateCapacity();
  }

  offer(size: RequestSize): void {
    const { now } = this.#simulation;
    this.#sent += 1;
    const requestId = RequestId.parse(`r-${this.#sent}`);
    this.#sizes.set(requestId, size);
    const decision = this.#queue.offer({
      requestId,
      team: TEAM,
      priority: 'interactive',
      deadlineMilliseconds: now + TIMEOUT_MILLISECONDS,
      queueUntilMilliseconds: now + QUEUE_MILLISECONDS,
      expectedServiceMilliseconds: 0,
    }, now);
    if (decision.kind === 'admitted') {
      this.#dispatch(requestId);
    } else if (decision.kind === 'refused') {
      this.#refuse(requestId);
    }
  }

  #refuse(requestId: RequestId): void {
    this.#sizes.delete(requestId);
    this.outcome.refused += 1;
  }

  #updateCapacity(): void {
    const capacity = this.#states.reduce((sum, state) => sum + this.#allowed(state), 0);
    this.#queue.setCapacity(capacity, this.#simulation.now).forEach((next) => this.#dispatch(next));
  }

  #allowed(state: EngineState): number {
    switch (this.#policy) {
      case 'limiter':
        return state.limiter.allowed(this.#simulation.now);
      case 'limiter without growth':
        return state.whole?.phase === 'warm' ? this.#warm : this.#cold;
      case 'fixed floor':
        return this.#cold;
      case 'no limit':
        return this.#warm;
      default:
        return this.#policy satisfies never;
    }
  }

  #dispatch(requestId: RequestId): void {
    const { now } = this.#simulation;
    const size = this.#sizes.get(requestId);
    const choice = chooseTarget({
      availabilityZone: ZONE, prefixHash: null, estimatedTokens: 150, tried: [], mayProbe: false,
    }, this.#states.map((state) => this.#viewOf(state)), this.#random);
    const state = choice.kind === 'none'
      ? undefined
      : this.#states.find(({ replica }) => replica === choice.replica);
    if (size === undefined || state === undefined) {
      this.#refuse(requestId);
      this.#release(requestId);
      return;
    }
    state.inFlightTokens.recordDispatch(requestId, size.outputTokens, now);
    this.#submit(requestId, size, state, state.limiter.recordDispatch());
  }

  #submit(requestId: RequestId, size: RequestSize, state: EngineState, ticket: DispatchTicket): void {
    state.engine.submit({
      ...size,
      onFirstToken: () => {},
      onGap: () => {},
      onEnd: (result) => {
        this.#sizes.delete(requestId);
        state.inFlightTokens.recordCompletion(requestId);
        state.limiter.recordCompletion(ticket, result === 'success' ? result : 'lost', this.#simulation.now);
        this.outcome.answered += result === 'success' ? 1 : 0;
        this.outcome.failed += result === 'failure' ? 1 : 0;
        this.#simulation.after(0, () => {
          this.#release(requestId);
          this.#updateCapacity();
        });
      },
    });
  }

  #release(requestId: RequestId): void {
    this.#queue.release(requestId, this.#simulation.now).forEach((next) => this.#dispatch(next));
  }

  #viewOf(state: EngineState): TargetView {
    const { now } = this.#simulation;
    const { whole, limiter, inFlightTokens } = state;
    return {
      replica: state.replica,
      availabilityZone: ZONE,
      assessment: whole ?? { kind: 'not-whole', reason: 'member-unseen', vm: null },
      available: this.#allowed(state) - limiter.inFlight,
      load: inFlightTokens.estimate(state.reportedTokens, whole?.receivedAtMilliseconds ?? 0, now),
      cachedPrefixTokens: 0,
      health: 'admitted',
      slowness: 1,
    };
  }
}
