import type { Clock, PromptPartId, WorkerId } from '@dandelionlane/core';
import type { Worker } from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type PromptQuarantine from './PromptQuarantine.js';
import isSameCrash from './isSameCrash.js';

/** Time for which the state of a target is not asked for again, in ms. */
const CHECK_AGE_MILLISECONDS = 1_000;

/** Dependencies of a `CrashReporter`. */
interface CrashReporterOptions {
  readonly quarantine: PromptQuarantine;
  /** Whether connections to an address are refused: no process listens there. */
  readonly refusesConnections: (address: string) => Promise<boolean>;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A check of whether a process has ended. */
interface EndCheck {
  readonly id: WorkerId;
  readonly bornAt: number | null;
  readonly startedAt: number;
  readonly hasEnded: Promise<boolean>;
}

/** Tells the end of a target from the loss of a connection, and records the parts of prompts under it. */
export default class CrashReporter {
  readonly #options: CrashReporterOptions;

  #checks: readonly EndCheck[] = [];

  constructor(options: CrashReporterOptions) {
    this.#options = options;
  }

  /** Reports that the connection of a request was lost before its target had answered it. */
  async reportLoss(worker: Worker, parts: readonly PromptPartId[]): Promise<void> {
    const at = this.#options.clock.monotonicMilliseconds();
    if (parts.length > 0 && await this.#checkOnce(worker, at)) {
      this.#options.quarantine.recordCrash({ id: worker.id, bornAt: worker.bornAt, at }, parts);
    }
  }

  #checkOnce({ id, bornAt, address }: Worker, now: number): Promise<boolean> {
    this.#checks = this.#checks.filter(({ startedAt }) => now - startedAt < CHECK_AGE_MILLISECONDS);
    const known = this.#checks.find((check) => isSameCrash(check, { id, bornAt }));
    if (known !== undefined) {
      return known.hasEnded;
    }
    const { refusesConnections, log, metrics } = this.#options;
    const hasEnded = refusesConnections(address).then((refused) => {
      if (refused) {
        metrics.count('gateway.target_crashes');
        log.warn('Worker has ended under requests.', { worker: id, bornAt });
      }
      return refused;
    });
    this.#checks = [...this.#checks, {
      id, bornAt, startedAt: now, hasEnded,
    }];
    return hasEnded;
  }
}
