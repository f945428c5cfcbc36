import { RequestId, SeededRandom, TeamId } from '@dandelionlane/core';
import { AdmissionQueue } from '../index.js';
import Distribution from './Distribution.js';
import drawInterarrivalMilliseconds from './drawInterarrivalMilliseconds.js';
import printTable from './printTable.js';
import Simulation from './Simulation.js';

const CAPACITY = 32;
const MEAN_SERVICE_MILLISECONDS = 1_000;
const DEADLINE_MILLISECONDS = 5_000;
const RUN_MILLISECONDS = 200_000;
const EXPIRE_MILLISECONDS = 50;
const FAR_MILLISECONDS = 1e9;
const TEAM = TeamId.parse('team');

/** Whether the wait of requests is bounded. */
type Bounding = 'bounded by deadline' | 'unbounded';

/** Totals of a run. */
interface Totals {
  offered: number;
  inTime: number;
  late: number;
  refused: number;
  refusedAtOnce: number;
  readonly refusalDelay: Distribution;
}

/** Serves requests of one team through a queue. */
class QueueRun {
  readonly totals: Totals = {
    offered: 0, inTime: 0, late: 0, refused: 0, refusedAtOnce: 0, refusalDelay: new Distribution(),
  };

  #simulation = new Simulation();

  #random: SeededRandom;

  #queue = new AdmissionQueue({
    capacity: CAPACITY,
    maximumQueued: 100_000,
    initialServiceMilliseconds: MEAN_SERVICE_MILLISECONDS,
    weightOf: () => 1,
  });

  #arrivals = new Map<RequestId, number>();

  #bounding: Bounding;

  constructor(bounding: Bounding, seed: number) {
    this.#bounding = bounding;
    this.#random = new SeededRandom(seed);
  }

  run(load: number): Totals {
    const simulation = this.#simulation;
    this.#arrive((load * CAPACITY * 1_000) / MEAN_SERVICE_MILLISECONDS);
    simulation.every(EXPIRE_MILLISECONDS, EXPIRE_MILLISECONDS, () => {
      this.#queue.expire(simulation.now).forEach(({ requestId }) => this.#refuse(requestId));
    });
    simulation.runUntil(RUN_MILLISECONDS);
    return this.totals;
  }

  #arrive(perSecond: number): void {
    const { now } = this.#simulation;
    this.#simulation.after(
      drawInterarrivalMilliseconds(this.#random, perSecond),
      () => this.#arrive(perSecond),
    );
    this.totals.offered += 1;
    const requestId = RequestId.parse(`r-${this.totals.offered}`);
    this.#arrivals.set(requestId, now);
    const until = this.#bounding === 'unbounded' ? FAR_MILLISECONDS : now + DEADLINE_MILLISECONDS;
    const decision = this.#queue.offer({
      requestId,
      team: TEAM,
      priority: 'interactive',
      deadlineMilliseconds: until,
      queueUntilMilliseconds: until,
      expectedServiceMilliseconds: MEAN_SERVICE_MILLISECONDS,
    }, now);
    if (decision.kind === 'admitted') {
      this.#start(requestId);
    } else if (decision.kind === 'refused') {
      this.totals.refusedAtOnce += 1;
      this.#refuse(requestId);
    }
  }

  #start(requestId: RequestId): void {
    const service = MEAN_SERVICE_MILLISECONDS * (0.5 + this.#random.next());
    this.#simulation.after(service, () => {
      const { now } = this.#simulation;
      const isInTime = now - (this.#arrivals.get(requestId) ?? 0) <= DEADLINE_MILLISECONDS;
      this.totals.inTime += isInTime ? 1 : 0;
      this.totals.late += isInTime ? 0 : 1;
      this.#queue.release(requestId, now).forEach((next) => this.#start(next));
    });
  }

  #refuse(requestId: RequestId): void {
    this.totals.refused += 1;
    this.totals.refusalDelay.add(this.#simulation.now - (this.#arrivals.get(requestId) ?? 0));
  }
}

/** Overloads one service and measures the share answered in time and the delay of refusals. */
export default function runQueue(): void {
  const rows = [0.9, 1.2, 2, 4].flatMap((load) => (
    (['bounded by deadline', 'unbounded'] as const).map((bounding) => {
      const totals = new QueueRun(bounding, 6).run(load);
      const percent = (count: number): number => Math.round((1_000 * count) / totals.offered) / 10;
      return {
        queue: bounding,
        'offered over capacity': load,
        'in time %': percent(totals.inTime),
        'late %': percent(totals.late),
        'refused %': percent(totals.refused),
        'refused at once, of refused %': Math.round((1_000 * totals.refusedAtOnce) / totals.refused) / 10,
        'refusal delay p99 ms': totals.refusalDelay.quantile(0.99),
      };
    })));
  printTable('Overload: 32 places, answers due after 5 s, seed 6', rows);
}
