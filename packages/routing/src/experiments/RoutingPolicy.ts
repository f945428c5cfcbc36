import {
  AvailabilityZoneId, ReplicaId, RequestId, type RandomSource,
} from '@dandelionlane/core';
import {
  chooseTarget, LatencyTracker, InFlightTokenTracker, type TargetView,
} from '../index.js';
import type ChoicePolicy from './ChoicePolicy.js';
import type RequestSize from './RequestSize.js';
import type FakeEngine from './FakeEngine.js';
import type RoutingPolicyOptions from './RoutingPolicyOptions.js';
import type Simulation from './Simulation.js';

const MEAN_OUTPUT_TOKENS = 150;
const PROMPT_TOKEN_WEIGHT = 0.1;
const REFRESH_MILLISECONDS = 1_000;

/** The entry's state for one engine. */
interface EngineView {
  readonly replica: ReplicaId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly inFlightTokens: InFlightTokenTracker;
  readonly cachedPrefixes: Set<number>;
  reportedTokens: number;
  receivedAtMilliseconds: number;
}

/** Chooses engines by `chooseTarget`, from the reports and cache events that reach one entry. */
export default class RoutingPolicy implements ChoicePolicy {
  #simulation: Simulation;

  #random: RandomSource;

  #zone: AvailabilityZoneId;

  #options: RoutingPolicyOptions;

  #views: EngineView[];

  #latencies = new LatencyTracker();

  #probes = new Set<string>();

  #lastProbe: ReplicaId | null = null;

  constructor(
    simulation: Simulation,
    random: RandomSource,
    zones: readonly string[],
    zone: string,
    options: RoutingPolicyOptions,
  ) {
    this.#simulation = simulation;
    this.#random = random;
    this.#zone = AvailabilityZoneId.parse(zone);
    this.#options = options;
    this.#views = zones.map((engineZone, index) => ({
      replica: ReplicaId.parse(`replica-${index}`),
      availabilityZone: AvailabilityZoneId.parse(engineZone),
      inFlightTokens: new InFlightTokenTracker(),
      cachedPrefixes: new Set(),
      reportedTokens: 0,
      receivedAtMilliseconds: 0,
    }));
    simulation.every(REFRESH_MILLISECONDS, REFRESH_MILLISECONDS, () => {
      this.#latencies.refresh(this.#views.map(({ replica }) => replica), simulation.now);
    });
  }

  /** Chooses an engine that has not been tried and returns its index. */
  choose(size: RequestSize, tried: readonly number[] = []): number {
    const candidates = this.#views.map((view) => this.#targetOf(view, size));
    const choice = chooseTarget({
      availabilityZone: this.#zone,
      prefixHash: this.#options.hasAffinity ? size.prefix : null,
      estimatedTokens: RoutingPolicy.#estimate(size),
      tried: tried.map((engine) => ReplicaId.parse(`replica-${engine}`)),
      mayProbe: tried.length === 0,
    }, candidates, this.#random);
    if (choice.kind === 'none') {
      throw new Error('every engine is whole and has capacity, but no target was chosen');
    }
    this.#lastProbe = choice.reason === 'probe' ? choice.replica : null;
    return this.#views.findIndex(({ replica }) => replica === choice.replica);
  }

  recordDispatch(engine: number, id: string, size: RequestSize): void {
    const { now } = this.#simulation;
    const view = this.#views[engine];
    view?.inFlightTokens.recordDispatch(RequestId.parse(id), RoutingPolicy.#estimate(size), now);
    if (view !== undefined && this.#lastProbe === view.replica) {
      this.#probes.add(id);
      this.#latencies.recordProbeSent(view.replica, now);
    }
  }

  recordCompletion(engine: number, id: string, gapMilliseconds: number | null): void {
    const view = this.#views[engine];
    if (view === undefined) {
      return;
    }
    view.inFlightTokens.recordCompletion(RequestId.parse(id));
    if (this.#probes.delete(id)) {
      this.#latencies.recordProbeResult(view.replica, gapMilliseconds, this.#simulation.now);
    } else if (gapMilliseconds !== null && this.#options.hasEjection) {
      this.#latencies.record(view.replica, gapMilliseconds);
    }
  }

  recordReport(engine: number, report: ReturnType<FakeEngine['report']>): void {
    const view = this.#views[engine];
    if (view !== undefined) {
      view.reportedTokens = report.outstandingTokens;
      view.receivedAtMilliseconds = this.#simulation.now;
    }
  }

  recordCachedPrefix(engine: number, prefix: number): void {
    this.#views[engine]?.cachedPrefixes.add(prefix);
  }

  static #estimate(size: RequestSize): number {
    return MEAN_OUTPUT_TOKENS + PROMPT_TOKEN_WEIGHT * (size.prefixTokens + size.suffixTokens);
  }

  #targetOf(view: EngineView, size: RequestSize): TargetView {
    const { now } = this.#simulation;
    const load = view.inFlightTokens.estimate(view.reportedTokens, view.receivedAtMilliseconds, now);
    return {
      replica: view.replica,
      availabilityZone: view.availabilityZone,
      assessment: {
        kind: 'whole', phase: 'warm', members: [], receivedAtMilliseconds: now, freshUntilMilliseconds: Infinity,
      },
      available: 1,
      load: this.#options.hasLocalLoad
        ? load
        : { ...load, localTokensInFlight: 0, localTokensSinceReport: 0 },
      cachedPrefixTokens: view.cachedPrefixes.has(size.prefix) ? size.prefixTokens : 0,
      health: this.#latencies.healthOf(view.replica, now),
      slowness: this.#latencies.slownessOf(view.replica),
    };
  }
}
