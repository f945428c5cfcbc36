import type { Clock, ModelName, WorkerId } from '@dandelionlane/core';
import type {
  GroupMembership, Worker, WorkerPort, WorkerReport,
} from '@dandelionlane/fleet';
import type { Log } from '@dandelionlane/telemetry';
import FleetObservation from './FleetObservation.js';
import type ObservedWorker from './ObservedWorker.js';
import type ReportedGroup from './ReportedGroup.js';
import Sighting from './Sighting.js';
import chooseQuestions from './chooseQuestions.js';

/** Time after which a question counts as unanswered, in ms: a report needs no place and takes about 2 ms. */
const REPORT_TIMEOUT_MILLISECONDS = 250;

/** The same for a worker whose group seems to stand still: streams wait for what the answer decides. */
const EXPEDITED_TIMEOUT_MILLISECONDS = 150;

/** Age up to which an answer shows that a worker lives, in ms: below the silence that raises a doubt. */
const RECENT_ANSWER_MILLISECONDS = 150;

/** Loop delay above which unanswered questions are put down to this process, in ms. */
const LOOP_DELAY_MILLISECONDS = 120;

/** Time for which word of a stream's progress holds, in ms: two messages of the links. */
const PROGRESS_MILLISECONDS = 240;

/** What a `WorkerObserver` needs from outside. */
interface WorkerObserverOptions {
  readonly port: WorkerPort;
  readonly clock: Clock;
  readonly log: Log;
  /** Age of what a report says, in ms. */
  readonly reportLagMilliseconds: () => number;
  /** Called with each answer in which a worker tells that it leaves. */
  readonly leaving: (worker: Worker) => void;
}

/** Members of groups that have no registration. */
interface UnregisteredMembers {
  readonly lapsed: readonly Worker[];
  readonly gone: readonly Worker[];
}

const NO_MEMBERS: UnregisteredMembers = { lapsed: [], gone: [] };

/** Addresses are used again: an answer may come from another life than the registered one. */
function isOtherLife(worker: Worker, report: WorkerReport): boolean {
  return worker.bornAt !== null && report.bornAt !== null && worker.bornAt !== report.bornAt;
}

/** Asks model workers for their state, more often the more hangs on the answer. */
export default class WorkerObserver {
  readonly #options: WorkerObserverOptions;

  readonly #sightings = new Map<WorkerId, Sighting>();

  /** When streams of a formation were last heard to go on, in monotonic ms. */
  readonly #progressedAt = new Map<string, number>();

  #lastRoundAt: number | null = null;

  /** Monotonic time at which the last worker was noted, in ms. */
  #newestAt = Number.NEGATIVE_INFINITY;

  constructor(options: WorkerObserverOptions) {
    this.#options = options;
  }

  /**
   * Sets which workers are observed: the registered ones, and members without a registration. One
   * that has lapsed may return and counts until then; one that is gone does not.
   */
  follow(registered: readonly Worker[], { lapsed, gone }: UnregisteredMembers = NO_MEMBERS): void {
    const now = this.#now();
    const wanted = new Set<WorkerId>();
    registered.forEach((worker) => {
      wanted.add(worker.id);
      this.#note(worker, true, now);
    });
    const noteMember = (worker: Worker, isRegistered: boolean) => {
      wanted.add(worker.id);
      const known = this.#sightings.get(worker.id)?.worker ?? worker;
      this.#note({ ...known, draining: !isRegistered }, isRegistered, now);
    };
    lapsed.filter(({ id }) => !wanted.has(id)).forEach((worker) => noteMember(worker, true));
    gone.filter(({ id }) => !wanted.has(id)).forEach((worker) => noteMember(worker, false));
    [...this.#sightings.keys()].filter((id) => !wanted.has(id)).forEach((id) => this.#sightings.delete(id));
  }

  /** Asks the members of a formation at once, but those that have just answered: it seems to stand still. */
  expedite(formation: string): void {
    const now = this.#now();
    [...this.#sightings.values()]
      .filter(({ report }) => report?.group != null && `${report.group.name}/${report.group.epoch}` === formation)
      .forEach((sighting) => sighting.expedite(now, RECENT_ANSWER_MILLISECONDS));
  }

  /** Streams of formations, named `name/epoch`, have brought events a moment ago. */
  formationsProgressed(formations: readonly string[]): void {
    const now = this.#now();
    formations.forEach((formation) => this.#progressedAt.set(formation, now));
  }

  /** Forgets everything, before a new term. */
  clear(): void {
    this.#sightings.clear();
    this.#progressedAt.clear();
    this.#lastRoundAt = null;
  }

  /** Asks the workers that are due. */
  round(): void {
    const now = this.#now();
    const delayed = this.#lastRoundAt !== null && now - this.#lastRoundAt > LOOP_DELAY_MILLISECONDS;
    this.#lastRoundAt = now;
    chooseQuestions([...this.#sightings.values()], now)
      .forEach((sighting) => void this.#ask(sighting, now, delayed));
  }

  /** Marks that an order to the worker is under way; it ends with the next report. */
  orderSent(id: WorkerId): void {
    this.#sightings.get(id)?.orderSent();
  }

  /**
   * The order's call has ended. Its effect shows in a report that counts it or, where it has begun
   * nothing, in one that was made later.
   * @param acceptedSequence Orders accepted with this one, where it has begun something.
   */
  orderEnded(id: WorkerId, acceptedSequence: number | null): void {
    this.#sightings.get(id)?.orderEnded(acceptedSequence, this.#now());
  }

  /**
   * The worker has accepted to join or to leave a group, which takes effect at once.
   * @param group The group that it is in now.
   * @param model Model of the group that it has joined; null when it has left one.
   */
  groupAccepted(id: WorkerId, group: GroupMembership | null, model: ModelName | null): void {
    this.#sightings.get(id)?.groupAccepted(group, model, this.#now());
  }

  /** The head has accepted to open its group, and serves after a while. */
  openAccepted(id: WorkerId): void {
    this.#sightings.get(id)?.openAccepted(this.#now());
  }

  observation(): FleetObservation {
    const now = this.#now();
    const workers = new Map([...this.#sightings].map(([id, sighting]): [WorkerId, ObservedWorker] => [
      id, sighting.toObserved(now),
    ]));
    return new FleetObservation(workers, now - this.#newestAt, this.#progressing(now));
  }

  /** Workers whose reports name another group than their registrations. */
  unregisteredGroups(): readonly ReportedGroup[] {
    return [...this.#sightings.values()].filter(({ hasUnregisteredGroup }) => hasUnregisteredGroup)
      .map(({ worker, report }) => ({ worker, group: report?.group ?? null }));
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  #progressing(now: number): ReadonlySet<string> {
    this.#progressedAt.forEach((at, formation) => {
      if (now - at > PROGRESS_MILLISECONDS) {
        this.#progressedAt.delete(formation);
      }
    });
    return new Set(this.#progressedAt.keys());
  }

  #note(worker: Worker, registered: boolean, now: number): void {
    const sighting = this.#sightings.get(worker.id);
    if (sighting?.isSameLife(worker) === true) {
      sighting.note(worker, registered, now);
    } else {
      this.#newestAt = now;
      this.#sightings.set(worker.id, new Sighting(worker, registered, now));
    }
  }

  async #ask(asked: Sighting, now: number, delayed: boolean): Promise<void> {
    const sighting = asked;
    const asksAfterOrder = sighting.awaitsEffect;
    sighting.asked(now);
    const timeout = sighting.expedited ? EXPEDITED_TIMEOUT_MILLISECONDS : REPORT_TIMEOUT_MILLISECONDS;
    const answer = await this.#options.port.report(sighting.worker, timeout);
    sighting.asking = false;
    if (answer.isErr()) {
      if (asksAfterOrder) {
        sighting.orderForgotten();
      }
      this.#missed(sighting, delayed, answer.error.message);
    } else if (isOtherLife(sighting.worker, answer.value)) {
      if (!sighting.ended) {
        this.#options.log.info('Another worker answers at the address.', { worker: sighting.worker.id });
      }
      sighting.ended = true;
    } else {
      if (sighting.isSilent) {
        this.#options.log.info('Worker answers again.', { worker: sighting.worker.id });
      }
      if (answer.value.leaving) {
        this.#options.leaving(sighting.worker);
      }
      const answeredAt = this.#now();
      const madeAt = answeredAt - this.#options.reportLagMilliseconds();
      sighting.answered(answer.value, answeredAt, madeAt, asksAfterOrder);
    }
  }

  #missed(sighting: Sighting, delayed: boolean, reason: string): void {
    const loopDelay = this.#lastRoundAt === null ? 0 : this.#now() - this.#lastRoundAt;
    if (delayed || loopDelay > LOOP_DELAY_MILLISECONDS) {
      return;
    }
    const wasSilent = sighting.isSilent;
    sighting.missed();
    if (!wasSilent && sighting.isSilent) {
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
