import {
  RequestId, SeededRandom, TeamId,
} from '@dandelionlane/core';
import { AdmissionQueue } from '../index.js';
import Distribution from './Distribution.js';
import drawInterarrivalMilliseconds from './drawInterarrivalMilliseconds.js';
import printTable from './printTable.js';
import Simulation from './Simulation.js';

const CAPACITY = 64;
const TEAMS = 10;
const MEAN_SERVICE_MILLISECONDS = 2_000;
const QUEUE_MILLISECONDS = 1_000;
const RUN_MILLISECONDS = 400_000;
const WARM_UP_MILLISECONDS = 20_000;

/** Load of the large team, as a multiple of its fair share. */
const LARGE_TEAM_LOAD = 10;

/** How requests are admitted. */
type Discipline = 'fair shares' | 'first come, first served' | 'no limit on others (alone)';

/** Creates the queue of all teams. First come, first served puts all requests in a single team. */
function makeQueue(): AdmissionQueue {
  return new AdmissionQueue({
    capacity: CAPACITY,
    maximumQueued: 1_000,
    initialServiceMilliseconds: MEAN_SERVICE_MILLISECONDS,
    weightOf: () => 1,
  });
}

/** Measurements of the ordinary teams, and counts of the large one. */
interface Outcome {
  readonly wait: Distribution;
  readonly total: Distribution;
  readonly refusalDelay: Distribution;
  refusedAtOnce: number;
  offered: number;
  refused: number;
  largeAnswered: number;
  largeOffered: number;
}

function runOne(discipline: Discipline, ordinaryLoad: number, seed: number): Outcome {
  const simulation = new Simulation();
  const random = new SeededRandom(seed);
  const queue = makeQueue();
  const outcome: Outcome = {
    wait: new Distribution(),
    total: new Distribution(),
    refusalDelay: new Distribution(),
    refusedAtOnce: 0,
    offered: 0,
    refused: 0,
    largeAnswered: 0,
    largeOffered: 0,
  };
  const started = new Map<RequestId, (admittedAt: number) => void>();
  const refused = new Map<RequestId, () => void>();
  let count = 0;
  const arrive = (team: number, perSecond: number): void => {
    simulation.after(drawInterarrivalMilliseconds(random, perSecond), () => arrive(team, perSecond));
    count += 1;
    const requestId = RequestId.parse(`r-${count}`);
    const arrivedAt = simulation.now;
    const service = -Math.log(1 - random.next()) * MEAN_SERVICE_MILLISECONDS;
    const isLarge = team === 0;
    const isCounted = arrivedAt > WARM_UP_MILLISECONDS;
    const start = (): void => {
      const wait = simulation.now - arrivedAt;
      if (isCounted && isLarge) {
        outcome.largeAnswered += 1;
      } else if (isCounted) {
        outcome.wait.add(wait);
        outcome.total.add(wait + service);
      }
      simulation.after(service, () => {
        queue.release(requestId, simulation.now).forEach((next) => started.get(next)?.(simulation.now));
      });
    };
    const refuse = (): void => {
      outcome.refused += isCounted && !isLarge ? 1 : 0;
      outcome.refusalDelay.add(simulation.now - arrivedAt);
    };
    started.set(requestId, () => {
      started.delete(requestId);
      refused.delete(requestId);
      start();
    });
    refused.set(requestId, () => {
      started.delete(requestId);
      refused.delete(requestId);
      refuse();
    });
    outcome.offered += isCounted && !isLarge ? 1 : 0;
    outcome.largeOffered += isCounted && isLarge ? 1 : 0;
    const decision = queue.offer({
      requestId,
      team: TeamId.parse(discipline === 'first come, first served' ? 'all' : `team-${team}`),
      priority: 'interactive',
      deadlineMilliseconds: arrivedAt + 60_000,
      queueUntilMilliseconds: arrivedAt + QUEUE_MILLISECONDS,
      expectedServiceMilliseconds: 0,
    }, arrivedAt);
    if (decision.kind === 'admitted') {
      started.get(requestId)?.(arrivedAt);
    } else if (decision.kind === 'refused') {
      outcome.refusedAtOnce += 1;
      refused.get(requestId)?.();
    }
  };
  const share = CAPACITY / TEAMS / (MEAN_SERVICE_MILLISECONDS / 1_000);
  for (let team = 0; team < TEAMS; team += 1) {
    if (team > 0) {
      arrive(team, ordinaryLoad * share);
    } else if (discipline !== 'no limit on others (alone)') {
      arrive(team, LARGE_TEAM_LOAD * share);
    }
  }
  simulation.every(50, 50, () => {
    queue.expire(simulation.now).forEach(({ requestId }) => refused.get(requestId)?.());
    queue.admitWaiting(simulation.now).forEach((next) => started.get(next)?.(simulation.now));
  });
  simulation.runUntil(RUN_MILLISECONDS);
  return outcome;
}

function toRow(discipline: Discipline, seed: number, outcome: Outcome): Record<string, string | number> {
  return {
    discipline,
    seed,
    'others: wait p50 ms': outcome.wait.quantile(0.5),
    'wait p95 ms': outcome.wait.quantile(0.95),
    'wait p99 ms': outcome.wait.quantile(0.99),
    'whole answer p95 ms': outcome.total.quantile(0.95),
    'others refused %': Math.round((10_000 * outcome.refused) / outcome.offered) / 100,
    'large team served %': Math.round((100 * outcome.largeAnswered) / Math.max(1, outcome.largeOffered)),
    'refused at once %': Math.round((1_000 * outcome.refusedAtOnce) / outcome.refusalDelay.count) / 10,
    'refusal delay p99 ms': outcome.refusalDelay.quantile(0.99),
  };
}

/** Compares the waits of nine ordinary teams alone and beside a team at ten times its fair share. */
export default function runFairness(): void {
  const disciplines: Discipline[] = ['no limit on others (alone)', 'fair shares', 'first come, first served'];
  [0.5, 0.8].forEach((ordinaryLoad) => {
    const rows = [1, 2, 3].flatMap((seed) => disciplines.map((discipline) => (
      toRow(discipline, seed, runOne(discipline, ordinaryLoad, seed))
    )));
    printTable(`Fairness: nine teams at ${ordinaryLoad} of their share beside one at 10 times its share`, rows);
  });
}
