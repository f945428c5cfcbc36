import type { Clock, ModelName, WorkerId } from '@dandelionlane/core';
import {
  formationName, type GroupMembership, type Worker, type WorkerPort, type WorkerReport,
} from '@dandelionlane/fleet';
import type { Log } from '@dandelionlane/telemetry';
import FleetObservation from './FleetObservation.js';
import type ObservedWorker from './ObservedWorker.js';
import type ReportedGroup from './ReportedGroup.js';
import WorkerTracker from './WorkerTracker.js';
import chooseProbes from './chooseProbes.js';

/** Timeout of a probe, in ms: a report does not wait for a slot and takes about 2 ms. */
const REPORT_TIMEOUT_MILLISECONDS = 250;

/** Timeout of a probe to a member of a stalled group, in ms: its streams wait for the outcome. */
const EXPEDITED_TIMEOUT_MILLISECONDS = 150;

/** Age up to which an answer proves that a worker is alive, in ms: below the silence of a suspected stall. */
const RECENT_ANSWER_MILLISECONDS = 150;

/** Event loop delay above which unanswered probes are attributed to this process, in ms. */
const MAXIMUM_LOOP_DELAY_MILLISECONDS = 120;

/** Time for which reported progress of a stream stays valid, in ms: two periods of link messages. */
const PROGRESS_VALIDITY_MILLISECONDS = 240;

/** Options of `WorkerObserver`. */
interface WorkerObserverOptions {
  readonly port: WorkerPort;
  readonly clock: Clock;
  readonly log: Log;
  /** Age of the state in a report, in ms. */
  readonly reportLagMilliseconds: () => number;
  /** Called for each report that says that its worker is leaving. */
  readonly onWorkerLeaving: (worker: Worker) => void;
}

/** Members of groups that have no registration: `lapsed` ones may return, `gone` ones do not. */
interface UnregisteredMembers {
  readonly lapsed: readonly Worker[];
  readonly gone: readonly Worker[];
}

const NO_MEMBERS: UnregisteredMembers = { lapsed: [], gone: [] };

/** Whether a report came from another instance than the registered one, as addresses are reused. */
function isOtherInstance(worker: Worker, report: WorkerReport): boolean {
  return worker.bornAt !== null && report.bornAt !== null && worker.bornAt !== report.bornAt;
}

/** Probes model workers for their state at intervals that depend on that state. */
export default class WorkerObserver {
  readonly #options: WorkerObserverOptions;

  readonly #trackers = new Map<WorkerId, WorkerTracker>();

  /** Monotonic time at which progress of each formation was last reported, in ms. */
  readonly #progressedAt = new Map<string, number>();

  #lastRoundAt: number | null = null;

  /** Monotonic time at which the last worker was added, in ms. */
  #lastAddedAt = Number.NEGATIVE_INFINITY;

  constructor(options: WorkerObserverOptions) {
    this.#options = options;
  }

  /**
   * Sets the observed workers: registered ones and members without a registration. A lapsed member
   * counts as registered as its registration may return; a gone one counts as leaving.
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

  /** Expedites probes of a formation that appears stalled, except of members that have just answered. */
  probeFormation(formation: string): void {
    const now = this.#now();
    this.#membersOf(formation).forEach((tracker) => tracker.expedite(now, RECENT_ANSWER_MILLISECONDS));
  }

  /** Probes the silent members of a formation that goes on in the next round, except those just probed. */
  probeSilentMembers(formation: string): void {
    const now = this.#now();
    this.#membersOf(formation).forEach((tracker) => tracker.retry(now, REPORT_TIMEOUT_MILLISECONDS));
  }

  /** Records that streams of these formations, named `name/epoch`, have just delivered events. */
  recordProgress(formations: readonly string[]): void {
    const now = this.#now();
    formations.forEach((formation) => this.#progressedAt.set(formation, now));
  }

  /** Discards all observations before a new term. */
  clear(): void {
    this.#trackers.clear();
    this.#progressedAt.clear();
    this.#lastRoundAt = null;
  }

  /** Probes the workers whose probe is due. */
  probeDueWorkers(): void {
    const now = this.#now();
    const isDelayed = this.#lastRoundAt !== null && now - this.#lastRoundAt > MAXIMUM_LOOP_DELAY_MILLISECONDS;
    this.#lastRoundAt = now;
    chooseProbes([...this.#trackers.values()], now, this.#progressingFormations(now))
      .forEach((tracker) => void this.#probe(tracker, now, isDelayed));
  }

  /** Marks an order to the worker as in flight; a later report completes it. */
  recordOrderSent(id: WorkerId): void {
    this.#trackers.get(id)?.recordOrderSent();
  }

  /**
   * Records that the call of an order has ended. The order stays pending until a report counts it or,
   * if it was not accepted, until a later report arrives.
   * @param acceptedSequence Number of accepted orders including this one, or null when it was not accepted.
   */
  recordOrderEnded(id: WorkerId, acceptedSequence: number | null): void {
    this.#trackers.get(id)?.recordOrderEnded(acceptedSequence, this.#now());
  }

  /**
   * Records an accepted order to join or to leave a group, which takes effect immediately.
   * @param group The new group, or null after leaving.
   * @param model Model of the joined group; null after leaving.
   */
  recordGroupAccepted(id: WorkerId, group: GroupMembership | null, model: ModelName | null): void {
    this.#trackers.get(id)?.recordGroupAccepted(group, model, this.#now());
  }

  /** Records that the head accepted an order to open its group, which takes a while. */
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

  /** Workers that report another group than their registrations, with that group. */
  unregisteredGroups(): readonly ReportedGroup[] {
    return [...this.#trackers.values()].filter(({ hasUnregisteredGroup }) => hasUnregisteredGroup)
      .map(({ worker, report }) => ({ worker, group: report?.group ?? null }));
  }

  #membersOf(formation: string): readonly WorkerTracker[] {
    return [...this.#trackers.values()]
      .filter(({ report }) => report?.group != null && formationName(report.group) === formation);
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
        this.#options.log.info('Another worker instance answers at the address.', { worker: tracker.worker.id });
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
