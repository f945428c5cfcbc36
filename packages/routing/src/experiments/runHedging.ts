import { SeededRandom } from '@dandelionlane/core';
import { decideHedge, QuantileEstimate, RetryBudget } from '../index.js';
import Distribution from './Distribution.js';
import drawInterarrivalMilliseconds from './drawInterarrivalMilliseconds.js';
import drawRequestSize from './drawRequestSize.js';
import type RequestSize from './RequestSize.js';
import type EngineJob from './EngineJob.js';
import FakeEngine from './FakeEngine.js';
import printTable from './printTable.js';
import RoutingPolicy from './RoutingPolicy.js';
import Simulation from './Simulation.js';

const ENGINES = 9;
const PER_SECOND = 18;
const PREFIXES = 48;
const RUN_MILLISECONDS = 300_000;
const WARM_UP_MILLISECONDS = 30_000;
const REPORT_MILLISECONDS = 1_000;
const REPORT_LAG_MILLISECONDS = 500;
const CHECK_MILLISECONDS = 20;
const HEDGE_QUANTILE = 0.95;
const PAUSES_PER_SECOND = 0.5;
const PAUSE_MILLISECONDS = 1_500;
const PAUSE_SLOWNESS = 8;

/** An attempt at one engine. */
interface HedgedAttempt {
  readonly engine: number;
  readonly id: string;
  readonly job: EngineJob;
}

/** Serves requests, the late ones with a second attempt if hedging is enabled. */
class HedgingRun {
  readonly firstToken = new Distribution();

  attempts = 0;

  offered = 0;

  #simulation = new Simulation();

  #engines = Array.from({ length: ENGINES }, () => new FakeEngine(this.#simulation));

  #policy: RoutingPolicy;

  #random: SeededRandom;

  #budget = new RetryBudget();

  #firstByteQuantile = new QuantileEstimate(HEDGE_QUANTILE);

  #isHedging: boolean;

  constructor(isHedging: boolean, seed: number) {
    this.#isHedging = isHedging;
    this.#random = new SeededRandom(seed);
    const zones = this.#engines.map(() => 'zone-a');
    const options = { hasAffinity: true, hasLocalLoad: true, hasEjection: true };
    this.#policy = new RoutingPolicy(this.#simulation, new SeededRandom(seed + 1), zones, 'zone-a', options);
  }

  run(): this {
    this.#engines.forEach((engine, index) => {
      this.#simulation.every(REPORT_MILLISECONDS, this.#random.next() * REPORT_MILLISECONDS, () => {
        const report = engine.report();
        this.#simulation.after(REPORT_LAG_MILLISECONDS, () => this.#policy.recordReport(index, report));
      });
    });
    this.#arrive();
    this.#pauseEngines(new SeededRandom(99));
    this.#simulation.runUntil(RUN_MILLISECONDS);
    return this;
  }

  /** Slows a random engine down for a short time, repeatedly, to simulate pauses. */
  #pauseEngines(random: SeededRandom): void {
    this.#simulation.after(drawInterarrivalMilliseconds(random, PAUSES_PER_SECOND), () => {
      const engine = this.#engines[Math.floor(random.next() * ENGINES)];
      engine?.slowDown(PAUSE_SLOWNESS);
      this.#simulation.after(PAUSE_MILLISECONDS, () => engine?.slowDown(1));
      this.#pauseEngines(random);
    });
  }

  #arrive(): void {
    const { now } = this.#simulation;
    this.#simulation.after(drawInterarrivalMilliseconds(this.#random, PER_SECOND), () => this.#arrive());
    this.offered += 1;
    this.#budget.recordRequest();
    const size = drawRequestSize(this.#random, PREFIXES);
    const jobs: HedgedAttempt[] = [];
    const isCounted = now > WARM_UP_MILLISECONDS;
    let hasBegun = false;
    const begin = (job: EngineJob): void => {
      hasBegun = true;
      const milliseconds = this.#simulation.now - now;
      this.#firstByteQuantile.add(milliseconds);
      if (isCounted) {
        this.firstToken.add(milliseconds);
      }
      jobs.filter((other) => other.job !== job).forEach((other) => {
        this.#engines[other.engine]?.cancel(other.job);
        this.#policy.recordCompletion(other.engine, other.id, null);
      });
    };
    const send = (): void => {
      const engine = this.#policy.choose(size, jobs.map((each) => each.engine));
      const sent = this.#makeJob(size, engine, () => !hasBegun, begin);
      jobs.push(sent);
      this.#engines[engine]?.submit(sent.job);
    };
    send();
    const check = (): void => {
      const decision = decideHedge({
        repeatable: true,
        hasAnswerBegun: hasBegun,
        attemptsInFlight: jobs.length,
        elapsedMilliseconds: this.#simulation.now - now,
        hedgeDelayMilliseconds: this.#firstByteQuantile.value,
        hasAlternative: true,
        budget: this.#budget,
      });
      if (decision.kind === 'hedge') {
        send();
      } else if (decision.kind === 'wait') {
        this.#simulation.after(CHECK_MILLISECONDS, check);
      }
    };
    if (this.#isHedging) {
      check();
    }
  }

  #makeJob(
    size: RequestSize,
    engine: number,
    isFirst: () => boolean,
    begin: (job: EngineJob) => void,
  ): HedgedAttempt {
    this.attempts += 1;
    const id = `r-${this.attempts}`;
    this.#policy.recordDispatch(engine, id, size);
    const startedAt = this.#simulation.now;
    const job: EngineJob = {
      ...size,
      onFirstToken: () => {
        if (isFirst()) {
          begin(job);
        }
      },
      onGap: () => {},
      onEnd: () => {
        const gap = (this.#simulation.now - startedAt) / size.outputTokens;
        this.#policy.recordCompletion(engine, id, gap);
      },
    };
    return { engine, id, job };
  }
}

/** Compares times to first token with and without hedging while engines pause at random. */
export default function runHedging(): void {
  const rows = [1, 2, 3].flatMap((seed) => [false, true].map((isHedging) => {
    const run = new HedgingRun(isHedging, seed).run();
    return {
      hedging: isHedging ? 'yes' : 'no',
      seed,
      'first token p50 ms': run.firstToken.quantile(0.5),
      'p95 ms': run.firstToken.quantile(0.95),
      'p99 ms': run.firstToken.quantile(0.99),
      'p99.9 ms': run.firstToken.quantile(0.999),
      'attempts over offered': Math.round((1_000 * run.attempts) / run.offered) / 1_000,
    };
  }));
  printTable('Hedging: engines pause for 1.5 s, one every 2 s, 18 requests/s', rows);
}
