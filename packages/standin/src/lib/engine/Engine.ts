import {
  type Clock, type EngineOrder, SeededRandom, ServingError, type VMReport,
} from '@dandelionlane/core';
import { err, ok, type Result } from 'neverthrow';
import AnswerFaults from '../vms/AnswerFaults.js';
import FreezeGate from '../vms/FreezeGate.js';
import Journal from '../journal/Journal.js';
import LaggingValue from '../LaggingValue.js';
import CacheEventFeed from './CacheEventFeed.js';
import EngineLoad from './EngineLoad.js';
import type EngineParts from './EngineParts.js';
import type LoadOrder from './LoadOrder.js';
import type MemberReport from './MemberReport.js';
import PrefixCache from './PrefixCache.js';
import type Refusal from './Refusal.js';
import type RequestIdentity from './RequestIdentity.js';
import type RunningRequest from './RunningRequest.js';
import RunningRequests from './RunningRequests.js';
import TokenBatch from './TokenBatch.js';

type LoadFigures = Pick<VMReport, 'runningRequests' | 'waitingRequests' | 'outstandingTokens'>;

const IDLE: LoadFigures = { runningRequests: 0, waitingRequests: 0, outstandingTokens: 0 };

function refuse(status: Refusal['status'], message: string): Result<never, Refusal> {
  return err({ status, error: new ServingError(message, { kind: 'target-refused' }) });
}

/** One VM's engine or application: what it carries, what it runs, and its faults. */
export default class Engine {
  readonly parts: EngineParts;

  readonly journal = new Journal();

  readonly gate = new FreezeGate();

  readonly faults = new AnswerFaults();

  readonly load: EngineLoad;

  readonly batch: TokenBatch;

  readonly cacheEvents: CacheEventFeed;

  readonly prefixCache: PrefixCache;

  readonly #requests: RunningRequests;

  readonly #figures: LaggingValue<LoadFigures>;

  #sequence = 0;

  constructor(parts: EngineParts) {
    this.parts = parts;
    this.#figures = new LaggingValue(IDLE, parts.common.reportLagMilliseconds, parts.clock);
    this.#requests = new RunningRequests(this.journal, parts.clock, () => this.#noteChange());
    this.cacheEvents = new CacheEventFeed({
      lagMilliseconds: parts.common.cacheEventLagMilliseconds,
      lossRatio: parts.common.cacheEventLossRatio,
    }, parts.clock, new SeededRandom(parts.common.seed));
    this.prefixCache = new PrefixCache((event) => this.cacheEvents.add(event));
    this.load = new EngineLoad(parts, () => this.#loseWork());
    this.batch = new TokenBatch(
      { ...parts.vm.timing, maximumBatch: parts.vm.timing.warmConcurrency },
      parts.clock,
      {
        slowFactor: () => this.#slowFactor(),
        passGate: () => this.gate.pass(),
        onStep: () => this.#noteFigures(),
      },
    );
  }

  get clock(): Clock {
    return this.parts.clock;
  }

  /** Takes an order. Error: `order-refused`. */
  order(order: EngineOrder): Result<void, ServingError> {
    return this.load.accept(order).andTee(() => {
      if (this.#requests.count === 0) {
        this.load.becomeIdle();
      }
    });
  }

  /**
   * Accepts a request or refuses it before it runs. Past what cold start bears the
   * engine refuses nothing: it crashes, and the request with it.
   */
  accept(identity: RequestIdentity, destroy: () => void): Result<RunningRequest, Refusal> {
    return this.#check(identity).map((order) => {
      const startedCold = this.load.phase === 'cold';
      const request = this.#requests.begin(this.#newRun(identity, order), startedCold, destroy);
      if (startedCold) {
        this.#bearColdLoad();
      }
      return request;
    });
  }

  /** Loses everything and comes back empty as a new incarnation. */
  restart(): void {
    this.load.restart();
    this.gate.thaw();
    this.faults.slowFactor = 1;
    this.faults.slowMilliseconds = 0;
  }

  /** The report as it is now; load figures lag. */
  report(): MemberReport {
    this.#sequence += 1;
    const { load, parts } = this;
    return {
      vm: parts.vm.vm,
      incarnation: load.incarnation,
      sequence: this.#sequence,
      phase: load.phase,
      replica: load.order?.replica ?? null,
      service: load.order?.service ?? null,
      version: load.order?.version ?? null,
      fencing: load.fencing,
      leaving: load.leaving,
      weightsLoaded: load.weightsLoaded,
      fabricDomain: parts.vm.fabricDomain,
      ...this.#figures.get(),
    };
  }

  /** The cache goes without events, as with a crash. */
  #loseWork(): void {
    this.#requests.failAll();
    this.prefixCache.clear();
  }

  #check(identity: RequestIdentity): Result<LoadOrder, Refusal> {
    const { order, phase, leaving } = this.load;
    if (order === undefined || order.replica !== identity.replica) {
      return refuse(409, `carries ${order?.replica ?? 'no replica'}, not ${identity.replica ?? 'an unnamed one'}`);
    }
    if (order.members[0]?.vm !== this.parts.vm.vm) {
      return refuse(409, 'is not the first member of its replica');
    }
    if (leaving || phase === 'stopping') {
      return refuse(503, 'takes no new work');
    }
    return phase === 'cold' || phase === 'warm' ? ok(order) : refuse(503, `is ${phase}`);
  }

  #newRun(identity: RequestIdentity, order: LoadOrder) {
    return {
      ...identity,
      vm: this.parts.vm.vm,
      service: order.service,
      replica: order.replica,
      startedAt: this.clock.now().toISOString(),
      endedAt: null,
      outcome: 'running' as const,
      incarnation: this.load.incarnation,
    };
  }

  #bearColdLoad(): void {
    const running = this.#requests.coldCount;
    this.journal.noteRunningWhileCold(running);
    if (running > this.parts.vm.timing.coldConcurrency) {
      this.journal.noteFellOver();
      this.load.restart();
    }
  }

  #slowFactor(): number {
    const crossing = this.load.members?.crossesDomains === true;
    return this.faults.slowFactor * (crossing ? this.parts.vm.timing.crossDomainSlowdown : 1);
  }

  #noteChange(): void {
    this.#noteFigures();
    if (this.#requests.count === 0) {
      this.load.becomeIdle();
    }
  }

  #noteFigures(): void {
    const waitingRequests = this.batch.waitingCount;
    this.#figures.set({
      runningRequests: this.#requests.count - waitingRequests,
      waitingRequests,
      outstandingTokens: this.batch.outstandingTokens,
    });
  }
}
