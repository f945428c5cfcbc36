import type { Clock, WorkerId } from '@dandelionlane/core';
import type {
  Worker, WorkerEntry, WorkerPort, WorkerReport,
} from '@dandelionlane/fleet';
import type { Log } from '@dandelionlane/telemetry';
import FleetObservation from './FleetObservation.js';
import MISSES_UNTIL_SILENT from './MISSES_UNTIL_SILENT.js';
import type ObservedWorker from './ObservedWorker.js';

/** Time after which a question counts as unanswered, in ms: a report needs no place and takes about 2 ms. */
const REPORT_TIMEOUT_MILLISECONDS = 250;

/** Time between two questions to a worker of a group, in ms. */
const MEMBER_INTERVAL_MILLISECONDS = 300;

/** Time between two questions to a spare, in ms. */
const SPARE_INTERVAL_MILLISECONDS = 1_000;

/** Time between two questions to a worker whose state is about to change, in ms. */
const CHANGING_INTERVAL_MILLISECONDS = 80;

/** Time between two questions to a worker that has been silent for long, in ms. */
const SILENT_INTERVAL_MILLISECONDS = 700;

/** Loop delay above which unanswered questions are put down to this process, in ms. */
const LOOP_DELAY_MILLISECONDS = 120;

/** What the observer keeps of one worker. */
interface Sighting {
  worker: Worker;
  registered: boolean;
  report: WorkerReport | null;
  misses: number;
  answeredAt: number;
  askedAt: number;
  asking: boolean;
  groupKey: string;
  groupChangedAt: number;
  ordering: boolean;
  /** Number of the last order; an answer to a question asked before it tells nothing of it. */
  orders: number;
}

function describeGroup(report: WorkerReport): string {
  const { group } = report;
  return group === null ? '' : `${group.name}/${group.epoch}/${group.state}`;
}

/** What a `WorkerObserver` needs from outside. */
interface WorkerObserverOptions {
  readonly port: WorkerPort;
  readonly clock: Clock;
  readonly log: Log;
  /** Called when a worker has answered or has become silent. */
  readonly changed: () => void;
}

/** Asks model workers for their state, more often the more hangs on the answer. */
export default class WorkerObserver {
  readonly #options: WorkerObserverOptions;

  readonly #sightings = new Map<WorkerId, Sighting>();

  #lastRoundAt: number | null = null;

  /** Monotonic time at which the last worker was noted, in ms. */
  #newestAt = Number.NEGATIVE_INFINITY;

  constructor(options: WorkerObserverOptions) {
    this.#options = options;
  }

  /** Sets which workers are observed: the registered ones, and members whose registration is gone. */
  follow(registered: readonly WorkerEntry[], unregistered: readonly Worker[]): void {
    const now = this.#now();
    const wanted = new Set<WorkerId>();
    registered.forEach(({ worker, lapsedAt }) => {
      wanted.add(worker.id);
      this.#note(worker, lapsedAt === null, now);
    });
    unregistered.filter(({ id }) => !wanted.has(id)).forEach((worker) => {
      wanted.add(worker.id);
      this.#note(this.#sightings.get(worker.id)?.worker ?? worker, false, now);
    });
    [...this.#sightings.keys()].filter((id) => !wanted.has(id)).forEach((id) => this.#sightings.delete(id));
  }

  /** Forgets everything, before a new term. */
  clear(): void {
    this.#sightings.clear();
    this.#lastRoundAt = null;
  }

  /** Asks the workers that are due. */
  round(): void {
    const now = this.#now();
    const delayed = this.#lastRoundAt !== null && now - this.#lastRoundAt > LOOP_DELAY_MILLISECONDS;
    this.#lastRoundAt = now;
    this.#sightings.forEach((sighting) => {
      if (!sighting.asking && now - sighting.askedAt >= WorkerObserver.#interval(sighting)) {
        void this.#ask(sighting, now, delayed);
      }
    });
  }

  /** Marks that an order to the worker is under way; it ends with the next report. */
  orderSent(id: WorkerId): void {
    const sighting = this.#sightings.get(id);
    if (sighting !== undefined) {
      sighting.ordering = true;
      sighting.orders += 1;
    }
  }

  /** The order's call has ended: its effect shows in the next report. */
  orderEnded(id: WorkerId): void {
    const sighting = this.#sightings.get(id);
    if (sighting !== undefined) {
      sighting.askedAt = Number.NEGATIVE_INFINITY;
    }
  }

  observation(): FleetObservation {
    const now = this.#now();
    const workers = new Map([...this.#sightings].map(([id, sighting]): [WorkerId, ObservedWorker] => [id, {
      worker: sighting.worker,
      registered: sighting.registered,
      report: sighting.report,
      misses: sighting.misses,
      silentMilliseconds: now - sighting.answeredAt,
      groupStateMilliseconds: now - sighting.groupChangedAt,
      ordering: sighting.ordering,
    }]));
    return new FleetObservation(workers, now - this.#newestAt);
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  #note(worker: Worker, registered: boolean, now: number): void {
    const sighting = this.#sightings.get(worker.id);
    const isSameLife = sighting !== undefined && sighting.worker.bornAt === worker.bornAt
      && sighting.worker.address === worker.address;
    if (isSameLife) {
      sighting.worker = worker;
      sighting.registered = registered;
      return;
    }
    this.#newestAt = now;
    this.#sightings.set(worker.id, {
      worker,
      registered,
      report: null,
      misses: 0,
      answeredAt: now,
      askedAt: Number.NEGATIVE_INFINITY,
      asking: false,
      groupKey: '',
      groupChangedAt: now,
      ordering: false,
      orders: 0,
    });
  }

  static #interval(sighting: Sighting): number {
    if (sighting.misses >= MISSES_UNTIL_SILENT) {
      return SILENT_INTERVAL_MILLISECONDS;
    }
    if (sighting.misses > 0 || sighting.report === null) {
      return 0;
    }
    const { group, busy } = sighting.report;
    if (sighting.ordering || group?.state === 'joining' || group?.state === 'closing') {
      return CHANGING_INTERVAL_MILLISECONDS;
    }
    return group === null && !busy ? SPARE_INTERVAL_MILLISECONDS : MEMBER_INTERVAL_MILLISECONDS;
  }

  async #ask(asked: Sighting, now: number, delayed: boolean): Promise<void> {
    const sighting = asked;
    const { orders } = sighting;
    sighting.asking = true;
    sighting.askedAt = now;
    const answer = await this.#options.port.report(sighting.worker, REPORT_TIMEOUT_MILLISECONDS);
    sighting.asking = false;
    if (answer.isErr()) {
      this.#missed(sighting, delayed, answer.error.message);
      return;
    }
    const report = answer.value;
    const answeredAt = this.#now();
    if (describeGroup(report) !== sighting.groupKey) {
      sighting.groupKey = describeGroup(report);
      sighting.groupChangedAt = answeredAt;
    }
    sighting.report = report;
    sighting.answeredAt = answeredAt;
    if (sighting.misses >= MISSES_UNTIL_SILENT) {
      this.#options.log.info('Worker answers again.', { worker: sighting.worker.id });
    }
    sighting.misses = 0;
    if (sighting.ordering && sighting.orders === orders && sighting.askedAt !== Number.NEGATIVE_INFINITY) {
      sighting.ordering = false;
    }
    this.#options.changed();
  }

  #missed(missing: Sighting, delayed: boolean, reason: string): void {
    const sighting = missing;
    const loopDelay = this.#lastRoundAt === null ? 0 : this.#now() - this.#lastRoundAt;
    if (delayed || loopDelay > LOOP_DELAY_MILLISECONDS) {
      return;
    }
    sighting.misses += 1;
    sighting.ordering = false;
    if (sighting.misses === MISSES_UNTIL_SILENT) {
      const { group } = sighting.report ?? { group: null };
      this.#options.log.warn('Worker is silent.', {
        worker: sighting.worker.id, registered: sighting.registered, group: group?.name, epoch: group?.epoch, reason,
      });
      this.#options.changed();
    }
  }
}
