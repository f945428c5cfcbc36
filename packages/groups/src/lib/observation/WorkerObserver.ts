import type { Clock, ModelName, WorkerId } from '@dandelionlane/core';
import type {
  GroupMembership, Worker, WorkerPort, WorkerReport,
} from '@dandelionlane/fleet';
import type { Log } from '@dandelionlane/telemetry';
import FleetObservation from './FleetObservation.js';
import type ObservedWorker from './ObservedWorker.js';
import type ReportedGroup from './ReportedGroup.js';
import WorkerTracker from './WorkerTracker.js';
import chooseProbes from './chooseProbes.js';

/** Time after which a question counts as unanswered, in ms: a report needs no place and takes about 2 ms. */
const REPORT_TIMEOUT_MILLISECONDS = 250;

/** The same for a worker whose group seems to stand still: streams wait for what the answer decides. */
const EXPEDITED_TIMEOUT_MILLISECONDS = 150;

/** Age up to which an answer shows that a worker lives, in ms: below the silence that raises a doubt. */
const RECENT_ANSWER_MILLISECONDS = 150;

/** Loop delay above which unanswered questions are put down to this process, in ms. */
const MAXIMUM_LOOP_DELAY_MILLISECONDS = 120;

/** Time for which word of a stream's progress holds, in ms: two messages of the links. */
const PROGRESS_VALIDITY_MILLISECONDS = 240;

/** What a `WorkerObserver` needs from outside. */
interface WorkerObserverOptions {
  readonly port: WorkerPort;
  readonly clock: Clock;
  readonly log: Log;
  /** Age of what a report says, in ms. */
  readonly reportLagMilliseconds: () => number;
  /** Called with each answer in which a worker tells that it leaves. */
  readonly onWorkerLeaving: (worker: Worker) => void;
}

/** Members of groups that have no registration. */
interface UnregisteredMembers {
  readonly lapsed: readonly Worker[];
  readonly gone: readonly Worker[];
}

const NO_MEMBERS: UnregisteredMembers = { lapsed: [], gone: [] };

/** Addresses are used again: an answer may come from another life than the registered one. */
function isOtherInstance(worker: Worker, report: WorkerReport): boolean {
  return worker.bornAt !== null && report.bornAt !== null && worker.bornAt !== report.bornAt;
}

/** Asks model workers for their state, more often the more hangs on the answer. */
export default class WorkerObserver {
  readonly #options: WorkerObserverOptions;

  readonly #trackers = new Map<WorkerId, WorkerTracker>();

  /** When streams of a formation were last heard to go on, in monotonic ms. */
  readonly #progressedAt = new Map<string, number>();

  #lastRoundAt: number | null = null;

  /** Monotonic time at which the last worker was noted, in ms. */
  #lastAddedAt = Number.NEGATIVE_INFINITY;

  constructor(options: WorkerObserverOptions) {
    this.#options = options;
  }

  /**
   * Sets which workers are observed: the registered ones, and members without a registration. One
   * that has lapsed may return and counts until then; one that is gone does not.
   */
  setObservedWorkers(
    registered: readonly Worker[],
    { lapsed, gone }: UnregisteredMembers = NO_MEMBERS,
  ): void {
    const now = this.#now();
    const wanted = new Set<WorkerId>();
    registered.forEach((worker) => {
      wanted.add(worker.id);
      this.#track(worker, true, now);
    });
    const trackMember = (worker: Worker, isRegistered: boolean) => {
      wanted.add(worker.id);
      const known = this.#trackers.get(worker.id)?.worker ?? worker;
      this.#track({ ...known, draining: !isRegistered }, isRegistered, now);
    };
    lapsed.filter(({ id }) => !wanted.has(id)).forEach((worker) => trackMember(worker, true));
    gone.filter(({ id }) => !wanted.has(id)).forEach((worker) => trackMember(worker, false));
    [...this.#trackers.keys()].filter((id) => !wanted.has(id)).forEach((id) => this.#trackers.delete(id));
  }

  /** Asks the members of a formation at once, but those that have just answered: it seems to stand still. */
  probeFormation(formation: string): void {
    const now = this.#now();
    [...this.#trackers.values()]
      .filter(({ report }) => report?.group != null && `${report.group.name}/${report.group.epoch}` === formation)
      .forEach((tracker) => tracker.expedite(now, RECENT_ANSWER_MILLISECONDS));
  }

  /** Streams of formations, named `name/epoch`, have brought events a moment ago. */
  recordProgress(formations: readonly string[]): void {
    const now = this.#now();
    formations.forEach((formation) => this.#progressedAt.set(formation, now));
  }

  /** Forgets everything, before a new term. */
  clear(): void {
    this.#trackers.clear();
    this.#progressedAt.clear();
    this.#lastRoundAt = null;
  }

  /** Asks the workers that are due. */
  probeDueWorkers(): void {
    const now = this.#now();
    const isDelayed = this.#lastRoundAt !== null && now - this.#lastRoundAt > MAXIMUM_LOOP_DELAY_MILLISECONDS;
    this.#lastRoundAt = now;
    chooseProbes([...this.#trackers.values()], now)
      .forEach((tracker) => void this.#probe(tracker, now, isDelayed));
  }

  /** Marks that an order to the worker is under way; it ends with the next report. */
  recordOrderSent(id: WorkerId): void {
    this.#trackers.get(id)?.recordOrderSent();
  }

  /**
   * The order's call has ended. Its effect shows in a report that counts it or, where it has begun
   * nothing, in one that was made later.
   * @param acceptedSequence Orders accepted with this one, where it has begun something.
   */
  recordOrderEnded(id: WorkerId, acceptedSequence: number | null): void {
    this.#trackers.get(id)?.recordOrderEnded(acceptedSequence, this.#now());
  }

  /**
   * The worker has accepted to join or to leave a group, which takes effect at once.
   * @param group The group that it is in now.
   * @param model Model of the group that it has joined; null when it has left one.
   */
  recordGroupAccepted(id: WorkerId, group: GroupMembership | null, model: ModelName | null): void {
    this.#trackers.get(id)?.recordGroupAccepted(group, model, this.#now());
  }

  /** The head has accepted to open its group, and serves after a while. */
  recordOpenAccepted(id: WorkerId): void {
    this.#trackers.get(id)?.recordOpenAccepted(this.#now());
  }

  observation(): FleetObservation {
    const now = this.#now();
    const workers = new Map([...this.#trackers].map(([id, tracker]): [WorkerId, ObservedWorker] => [
      id, tracker.toObserved(now),
    ]));
    return new FleetObservation(workers, now - this.#lastAddedAt, this.#progressingFormations(now));
  }

  /** Workers whose reports name another group than their registrations. */
  unregisteredGroups(): readonly ReportedGroup[] {
    return [...this.#trackers.values()].filter(({ hasUnregisteredGroup }) => hasUnregisteredGroup)
      .map(({ worker, report }) => ({ worker, group: report?.group ?? null }));
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }

  #progressingFormations(now: number): ReadonlySet<string> {
    this.#progressedAt.forEach((at, formation) => {
      if (now - at > PROGRESS_VALIDITY_MILLISECONDS) {
        this.#progressedAt.delete(formation);
      }
    });
    return new Set(this.#progressedAt.keys());
  }

  #track(worker: Worker, registered: boolean, now: number): void {
    const tracker = this.#trackers.get(worker.id);
    if (tracker?.isSameInstance(worker) === true) {
      tracker.updateRegistration(worker, registered, now);
    } else {
      this.#lastAddedAt = now;
      this.#trackers.set(worker.id, new WorkerTracker(worker, registered, now));
    }
  }

  async #probe(probed: WorkerTracker, now: number, isDelayed: boolean): Promise<void> {
    const tracker = probed;
    const isProbedAfterOrder = tracker.isAwaitingEffect;
    tracker.recordProbe(now);
    const timeout = tracker.isExpedited ? EXPEDITED_TIMEOUT_MILLISECONDS : REPORT_TIMEOUT_MILLISECONDS;
    const answer = await this.#options.port.report(tracker.worker, timeout);
    tracker.isProbing = false;
    if (answer.isErr()) {
      if (isProbedAfterOrder) {
        tracker.abandonOrder();
      }
      this.#recordMiss(tracker, isDelayed, answer.error.message);
    } else if (isOtherInstance(tracker.worker, answer.value)) {
      if (!tracker.hasEnded) {
        this.#options.log.info('Another worker answers at the address.', { worker: tracker.worker.id });
      }
      tracker.hasEnded = true;
    } else {
      if (tracker.isSilent) {
        this.#options.log.info('Worker answers again.', { worker: tracker.worker.id });
      }
      if (answer.value.leaving) {
        this.#options.onWorkerLeaving(tracker.worker);
      }
      const answeredAt = this.#now();
      const createdAt = answeredAt - this.#options.reportLagMilliseconds();
      tracker.recordReport(answer.value, answeredAt, createdAt, isProbedAfterOrder);
    }
  }

  #recordMiss(tracker: WorkerTracker, isDelayed: boolean, reason: string): void {
    const loopDelay = this.#lastRoundAt === null ? 0 : this.#now() - this.#lastRoundAt;
    if (isDelayed || loopDelay > MAXIMUM_LOOP_DELAY_MILLISECONDS) {
      return;
    }
    const wasSilent = tracker.isSilent;
    tracker.recordMiss();
    if (!wasSilent && tracker.isSilent) {
      const { group } = tracker.report ?? { group: null };
      this.#options.log.warn('Worker is silent.', {
        worker: tracker.worker.id,
        registered: tracker.isRegistered,
        group: group?.name,
        epoch: group?.epoch,
        reason,
      });
    }
  }
}
