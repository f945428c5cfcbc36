import type { Clock, ModelName, WorkerId } from '@dandelionlane/core';
import type {
  GroupMembership, Worker, WorkerPort, WorkerReport,
} from '@dandelionlane/fleet';
import type { Log } from '@dandelionlane/telemetry';
import FleetObservation from './FleetObservation.js';
import MISSES_UNTIL_SILENT from './MISSES_UNTIL_SILENT.js';
import type ObservedWorker from './ObservedWorker.js';
import type ReportedGroup from './ReportedGroup.js';

/** Time after which a question counts as unanswered, in ms: a report needs no place and takes about 2 ms. */
const REPORT_TIMEOUT_MILLISECONDS = 250;

/** The same for a worker whose group seems to stand still: streams wait for what the answer decides. */
const EXPEDITED_TIMEOUT_MILLISECONDS = 150;

/** Time between two questions to a worker of a group, in ms: its streams tell sooner when it stands still. */
const MEMBER_INTERVAL_MILLISECONDS = 1_000;

/** Time between two questions to a spare, in ms. */
const SPARE_INTERVAL_MILLISECONDS = 2_000;

/** Time between two questions to a worker whose state is about to change, in ms. */
const CHANGING_INTERVAL_MILLISECONDS = 80;

/** Time between two questions to a worker that has been silent for long, in ms. */
const SILENT_INTERVAL_MILLISECONDS = 700;

/** Time after which an accepted order that no report counts is taken to be lost, in ms. */
const ORDER_EFFECT_MILLISECONDS = 1_000;

/** Time after an accepted order in which a registration may still tell of the time before it, in ms. */
const REGISTRATION_LAG_MILLISECONDS = 400;

/** Age up to which an answer shows that a worker lives, in ms: below the silence that raises a doubt. */
const RECENT_ANSWER_MILLISECONDS = 150;

/** Time after an accepted order to open in which it is not repeated, in ms: heads take some hundred ms. */
const OPENING_MILLISECONDS = 1_000;

/** What an unanswered question counts when streams of the group have fallen silent too. */
const EXPEDITED_MISSES = 2;

/** Loop delay above which unanswered questions are put down to this process, in ms. */
const LOOP_DELAY_MILLISECONDS = 120;

/** What the observer keeps of one worker. */
interface Sighting {
  worker: Worker;
  registered: boolean;
  report: WorkerReport | null;
  ended: boolean;
  misses: number;
  answeredAt: number;
  askedAt: number;
  asking: boolean;
  groupKey: string;
  groupChangedAt: number;
  /** `ended`: the order's call is over, and no report has shown its effect yet. */
  order: 'none' | 'under-way' | 'ended';
  /** Monotonic time at which the last order's call ended, in ms. */
  orderEndedAt: number;
  /** Orders that the worker has accepted, by its reports and its answers. */
  orderSequence: number;
  /** Whether it was asked out of turn since its last answer. */
  expedited: boolean;
  /** Monotonic time from which its group is known by its registration or by an accepted order, in ms. */
  groupKnownAt: number;
  /** Monotonic time at which it last accepted to join or to leave a group, in ms. */
  acceptedAt: number;
  lastModel: ModelName | null;
  /** Monotonic time at which it last accepted to open its group, in ms. */
  openAcceptedAt: number;
}

function describeGroup({ group }: Pick<Worker, 'group'>): string {
  return group === null ? '' : `${group.name}/${group.epoch}/${group.state}`;
}

/** What a `WorkerObserver` needs from outside. */
interface WorkerObserverOptions {
  readonly port: WorkerPort;
  readonly clock: Clock;
  readonly log: Log;
  /** Age of what a report says, in ms. */
  readonly reportLagMilliseconds: () => number;
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

  /**
   * Sets which workers are observed: the registered ones, and members whose registration is gone.
   * @param isUnsteady Whether registrations may be missing that return: they count until then.
   */
  follow(registered: readonly Worker[], unregistered: readonly Worker[], isUnsteady = false): void {
    const now = this.#now();
    const wanted = new Set<WorkerId>();
    registered.forEach((worker) => {
      wanted.add(worker.id);
      this.#note(worker, true, now);
    });
    unregistered.filter(({ id }) => !wanted.has(id)).forEach((worker) => {
      wanted.add(worker.id);
      const known = this.#sightings.get(worker.id)?.worker;
      this.#note(known === undefined ? worker : { ...known, draining: worker.draining }, isUnsteady, now);
    });
    [...this.#sightings.keys()].filter((id) => !wanted.has(id)).forEach((id) => this.#sightings.delete(id));
  }

  /** Asks the members of a formation at once, but those that have just answered: it seems to stand still. */
  expedite(formation: string): void {
    const now = this.#now();
    this.#sightings.forEach((sighting) => {
      const group = sighting.report?.group ?? null;
      if (group !== null && `${group.name}/${group.epoch}` === formation && !sighting.expedited
        && now - sighting.answeredAt > RECENT_ANSWER_MILLISECONDS) {
        Object.assign(sighting, { askedAt: Number.NEGATIVE_INFINITY, expedited: true });
      }
    });
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
      sighting.order = 'under-way';
    }
  }

  /**
   * The order's call has ended. Its effect shows in a report that counts it or, where it has begun
   * nothing, in one that was made later.
   * @param acceptedSequence Orders accepted with this one, where it has begun something.
   */
  orderEnded(id: WorkerId, acceptedSequence: number | null): void {
    const sighting = this.#sightings.get(id);
    if (sighting !== undefined) {
      sighting.order = 'ended';
      sighting.orderEndedAt = this.#now();
      sighting.orderSequence = Math.max(sighting.orderSequence, acceptedSequence ?? 0);
    }
  }

  /**
   * The worker has accepted to join or to leave a group, which takes effect at once.
   * @param group The group that it is in now.
   * @param model Model of the group that it has joined; null when it has left one.
   */
  groupAccepted(id: WorkerId, group: GroupMembership | null, model: ModelName | null): void {
    const sighting = this.#sightings.get(id);
    if (sighting === undefined || sighting.report === null) {
      return;
    }
    const now = this.#now();
    sighting.order = 'none';
    sighting.openAcceptedAt = Number.NEGATIVE_INFINITY;
    sighting.acceptedAt = now;
    sighting.groupKnownAt = now;
    sighting.lastModel = model ?? sighting.lastModel;
    WorkerObserver.#takeReport(sighting, { ...sighting.report, group }, now);
  }

  /** The head has accepted to open its group, and serves after a while. */
  openAccepted(id: WorkerId): void {
    const sighting = this.#sightings.get(id);
    if (sighting !== undefined) {
      sighting.openAcceptedAt = this.#now();
    }
  }

  observation(): FleetObservation {
    const now = this.#now();
    const workers = new Map([...this.#sightings].map(([id, sighting]): [WorkerId, ObservedWorker] => [id, {
      worker: sighting.worker,
      registered: sighting.registered,
      report: sighting.report === null ? null : { ...sighting.report, orderSequence: sighting.orderSequence },
      ended: sighting.ended,
      misses: sighting.misses,
      silentMilliseconds: now - sighting.answeredAt,
      groupStateMilliseconds: now - sighting.groupChangedAt,
      lastModel: sighting.lastModel,
      opening: now - sighting.openAcceptedAt < OPENING_MILLISECONDS,
      ordering: sighting.order !== 'none',
    }]));
    return new FleetObservation(workers, now - this.#newestAt);
  }

  /** Workers whose reports name another group than their registrations. */
  unregisteredGroups(): readonly ReportedGroup[] {
    return [...this.#sightings.values()].flatMap(({ worker, report, misses }) => (
      report !== null && misses === 0 && describeGroup(report) !== describeGroup(worker)
        ? [{ worker: worker.id, group: report.group }] : []
    ));
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  #note(worker: Worker, registered: boolean, now: number): void {
    const sighting = this.#sightings.get(worker.id);
    const isSameLife = sighting !== undefined && sighting.worker.bornAt === worker.bornAt
      && sighting.worker.address === worker.address;
    if (isSameLife) {
      WorkerObserver.#noteRegisteredGroup(sighting, worker, now);
      sighting.worker = worker;
      sighting.registered = registered;
      return;
    }
    this.#newestAt = now;
    this.#sightings.set(worker.id, {
      worker,
      registered,
      report: null,
      ended: false,
      misses: 0,
      answeredAt: now,
      askedAt: Number.NEGATIVE_INFINITY,
      asking: false,
      groupKey: '',
      groupChangedAt: now,
      order: 'none',
      orderEndedAt: Number.NEGATIVE_INFINITY,
      orderSequence: 0,
      expedited: false,
      groupKnownAt: Number.NEGATIVE_INFINITY,
      acceptedAt: Number.NEGATIVE_INFINITY,
      lastModel: null,
      openAcceptedAt: Number.NEGATIVE_INFINITY,
    });
  }

  /** Addresses are used again: an answer may come from another life than the registered one. */
  static #isOtherLife(worker: Worker, report: WorkerReport): boolean {
    return worker.bornAt !== null && report.bornAt !== null && worker.bornAt !== report.bornAt;
  }

  /** Registrations change at once with the group, whereas reports lag behind. */
  static #noteRegisteredGroup(noted: Sighting, worker: Worker, now: number): void {
    const sighting = noted;
    if (worker.group === sighting.worker.group || describeGroup(worker) === describeGroup(sighting.worker)) {
      return;
    }
    if (now - sighting.acceptedAt < REGISTRATION_LAG_MILLISECONDS) {
      // May have been on its way already; a report tells.
      return;
    }
    sighting.groupKnownAt = now;
    if (sighting.report !== null) {
      const { group, stagedModels } = worker;
      WorkerObserver.#takeReport(sighting, { ...sighting.report, group, stagedModels }, now);
    }
  }

  static #takeReport(taken: Sighting, report: WorkerReport, now: number): void {
    const sighting = taken;
    if (describeGroup(report) !== sighting.groupKey) {
      sighting.groupKey = describeGroup(report);
      sighting.groupChangedAt = now;
    }
    sighting.report = report;
  }

  static #interval(sighting: Sighting): number {
    if (sighting.misses >= MISSES_UNTIL_SILENT) {
      return SILENT_INTERVAL_MILLISECONDS;
    }
    if (sighting.misses > 0 || sighting.report === null) {
      return 0;
    }
    const { group, busy } = sighting.report;
    if (sighting.order !== 'none' || group?.state === 'joining' || group?.state === 'closing') {
      return CHANGING_INTERVAL_MILLISECONDS;
    }
    return group === null && !busy ? SPARE_INTERVAL_MILLISECONDS : MEMBER_INTERVAL_MILLISECONDS;
  }

  async #ask(asked: Sighting, now: number, delayed: boolean): Promise<void> {
    const sighting = asked;
    const asksAfterOrder = sighting.order === 'ended';
    sighting.asking = true;
    sighting.askedAt = now;
    const timeout = sighting.expedited ? EXPEDITED_TIMEOUT_MILLISECONDS : REPORT_TIMEOUT_MILLISECONDS;
    const answer = await this.#options.port.report(sighting.worker, timeout);
    sighting.asking = false;
    if (answer.isErr()) {
      this.#missed(sighting, asksAfterOrder, delayed, answer.error.message);
      return;
    }
    if (WorkerObserver.#isOtherLife(sighting.worker, answer.value)) {
      if (!sighting.ended) {
        this.#options.log.info('Another worker answers at the address.', { worker: sighting.worker.id });
      }
      sighting.ended = true;
      return;
    }
    const answeredAt = this.#now();
    const madeAt = answeredAt - this.#options.reportLagMilliseconds();
    const { group, stagedModels } = sighting.report ?? answer.value;
    const report = madeAt < sighting.groupKnownAt
      ? { ...answer.value, group, stagedModels } : answer.value;
    WorkerObserver.#takeReport(sighting, report, answeredAt);
    sighting.answeredAt = answeredAt;
    if (sighting.misses >= MISSES_UNTIL_SILENT) {
      this.#options.log.info('Worker answers again.', { worker: sighting.worker.id });
    }
    sighting.misses = 0;
    sighting.expedited = false;
    const showsOrder = report.orderSequence >= sighting.orderSequence
      || madeAt > sighting.orderEndedAt + ORDER_EFFECT_MILLISECONDS;
    if (asksAfterOrder && sighting.order === 'ended' && showsOrder && madeAt > sighting.orderEndedAt) {
      sighting.order = 'none';
      sighting.orderSequence = report.orderSequence;
    }
    sighting.orderSequence = Math.max(sighting.orderSequence, report.orderSequence);
  }

  #missed(missing: Sighting, asksAfterOrder: boolean, delayed: boolean, reason: string): void {
    const sighting = missing;
    if (asksAfterOrder && sighting.order === 'ended') {
      sighting.order = 'none';
    }
    const wasSilent = sighting.misses >= MISSES_UNTIL_SILENT;
    const loopDelay = this.#lastRoundAt === null ? 0 : this.#now() - this.#lastRoundAt;
    if (delayed || loopDelay > LOOP_DELAY_MILLISECONDS) {
      return;
    }
    sighting.misses += sighting.expedited ? EXPEDITED_MISSES : 1;
    if (!wasSilent && sighting.misses >= MISSES_UNTIL_SILENT) {
      const { group } = sighting.report ?? { group: null };
      this.#options.log.warn('Worker is silent.', {
        worker: sighting.worker.id,
        registered: sighting.registered,
        group: group?.name,
        epoch: group?.epoch,
        reason,
      });
    }
  }
}
