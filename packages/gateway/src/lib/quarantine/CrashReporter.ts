import type {
  Clock, PromptPartId, ServiceId, WorkerId,
} from '@dandelionlane/core';
import type { Worker } from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type PromptQuarantine from './PromptQuarantine.js';
import isSameCrash from './isSameCrash.js';

/** Time for which the state of a target is not asked for again, in ms. */
const CHECK_AGE_MILLISECONDS = 1_000;

/** Time for which a loss without paths to other targets waits for them, in ms. */
const PENDING_AGE_MILLISECONDS = 60_000;

/** Limit on losses that wait: older ones are dropped. */
const MAXIMUM_PENDING = 200;

/** Dependencies of a `CrashReporter`. */
interface CrashReporterOptions {
  readonly quarantine: PromptQuarantine;
  /** Whether connections to an address are refused: no process listens there. */
  readonly refusesConnections: (address: string) => Promise<boolean>;
  /** Whether this entry reaches any target of a service: else a refused connection proves nothing. */
  readonly hasPath: (service: ServiceId) => Promise<boolean>;
  /** Whether the instance of a worker is registered. */
  readonly isRegistered: (worker: Worker) => boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** `unknown`: nobody was reached at the address, nor at the addresses of other targets. */
type Finding = 'ended' | 'running' | 'unknown';

/** A check of whether a process has ended. */
interface EndCheck {
  readonly id: WorkerId;
  readonly bornAt: number | null;
  readonly startedAt: number;
  readonly finding: Promise<Finding>;
}

/** A loss of which is not known yet whether the process has ended. */
interface PendingLoss {
  readonly worker: Worker;
  readonly at: number;
  readonly parts: readonly PromptPartId[];
}

/** Tells the end of a target from the loss of a connection, and records the parts of prompts under it. */
export default class CrashReporter {
  readonly #options: CrashReporterOptions;

  #checks: readonly EndCheck[] = [];

  #pending: readonly PendingLoss[] = [];

  constructor(options: CrashReporterOptions) {
    this.#options = options;
  }

  /** Reports that the connection of a request was lost before its target had answered it. */
  async reportLoss(worker: Worker, parts: readonly PromptPartId[]): Promise<void> {
    const at = this.#options.clock.monotonicMilliseconds();
    if (parts.length === 0) {
      return;
    }
    const finding = await this.#checkOnce(worker, at);
    switch (finding) {
      case 'ended':
        this.#options.quarantine.recordCrash({ id: worker.id, bornAt: worker.bornAt, at }, parts);
        return;
      case 'unknown':
        this.#pending = [...this.#pending, { worker, at, parts }].slice(-MAXIMUM_PENDING);
        return;
      case 'running':
        return;
      default:
        finding satisfies never;
    }
  }

  /** Decides on the losses of a worker that had to wait, as its registration has ended. */
  settleRemoved(id: WorkerId): void {
    const due = this.#pending.filter(({ worker }) => worker.id === id);
    this.#pending = this.#pending.filter((loss) => !due.includes(loss));
    due.forEach((loss) => this.#recordCrash(loss));
  }

  /** Decides on the losses of a service that had to wait, as its targets can be reached again. */
  async settle(service: ServiceId): Promise<void> {
    const { clock, isRegistered, refusesConnections } = this.#options;
    const now = clock.monotonicMilliseconds();
    const due = this.#pending.filter(({ worker }) => worker.service === service);
    this.#pending = this.#pending.filter((loss) => !due.includes(loss));
    await Promise.all(due.filter(({ at }) => now - at < PENDING_AGE_MILLISECONDS)
      .map(async (loss) => {
        if (!isRegistered(loss.worker) || await refusesConnections(loss.worker.address)) {
          this.#recordCrash(loss);
        }
      }));
  }

  #recordCrash({ worker, at, parts }: PendingLoss): void {
    this.#recordEnd(worker);
    this.#options.quarantine.recordCrash({ id: worker.id, bornAt: worker.bornAt, at }, parts);
  }

  #checkOnce(worker: Worker, now: number): Promise<Finding> {
    const { id, bornAt } = worker;
    this.#checks = this.#checks.filter(({ startedAt }) => now - startedAt < CHECK_AGE_MILLISECONDS);
    const known = this.#checks.find((check) => isSameCrash(check, { id, bornAt }));
    if (known !== undefined) {
      return known.finding;
    }
    const finding = this.#check(worker);
    this.#checks = [...this.#checks, {
      id, bornAt, startedAt: now, finding,
    }];
    return finding;
  }

  async #check(worker: Worker): Promise<Finding> {
    const { refusesConnections, hasPath } = this.#options;
    if (!await refusesConnections(worker.address)) {
      return 'running';
    }
    if (!await hasPath(worker.service)) {
      return 'unknown';
    }
    this.#recordEnd(worker);
    return 'ended';
  }

  #recordEnd({ id, bornAt }: Worker): void {
    const { log, metrics } = this.#options;
    metrics.count('gateway.target_crashes');
    log.warn('Worker has ended under requests.', { worker: id, bornAt });
  }
}
