import { setTimeout as sleep } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import type { ServingError } from '@dandelionlane/core';
import { formationName, type Worker, type WorkerReport } from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type Candidate from '../choice/Candidate.js';

/** Time for an answer of the target, in ms: one that has ended refuses at once, a busy one answers late. */
const TIMEOUT_MILLISECONDS = 1_000;

/** Reports that are asked for, as the first may go out on a kept connection that has just been closed. */
const REPORTS = 2;

/** Time in which a process that ends closes its connections and the port that it listens at, in ms. */
const CLOSING_MILLISECONDS = 20;

/** Dependencies of a `ServingCheck`. */
interface ServingCheckOptions {
  /** Asks a worker for its report. */
  readonly report: (worker: Worker, timeoutMilliseconds: number) => ResultAsync<WorkerReport, ServingError>;
  /** Whether anything answers at the address of a worker, over a new connection. Never rejects. */
  readonly probe: (worker: Worker, timeoutMilliseconds: number) => Promise<boolean>;
  /** Whether connections to an address are refused: no process listens there. Never rejects. */
  readonly refusesConnections: (address: string) => Promise<boolean>;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Tells the sound end of an answer without a length from the end of the target. A process that ends closes
 * its connections as it does after a whole answer, and then answers no more; a head that cuts the work of
 * its group goes on, and its group does not.
 */
export default class ServingCheck {
  readonly #options: ServingCheckOptions;

  constructor(options: ServingCheckOptions) {
    this.#options = options;
  }

  /** Whether a target serves as it did when it was chosen. Never rejects. */
  async isServing({ entry: { worker }, formation }: Candidate): Promise<boolean> {
    const isServing = await (formation === ''
      ? this.#goesOn(worker) : this.#reportsFormation(worker, formation));
    if (!isServing) {
      this.#options.metrics.count('gateway.unconfirmed_ends');
      this.#options.log.info('End of an answer without a length is not confirmed.', { worker: worker.id, formation });
    }
    return isServing;
  }

  /** A target without a group has no report. It may reset connections beyond its limit, and still goes on. */
  async #goesOn(worker: Worker): Promise<boolean> {
    const { probe, refusesConnections } = this.#options;
    if (await probe(worker, TIMEOUT_MILLISECONDS)) {
      return true;
    }
    if (await refusesConnections(worker.address)) {
      return false;
    }
    await sleep(CLOSING_MILLISECONDS);
    if (await refusesConnections(worker.address)) {
      return false;
    }
    this.#options.log.info('End of an answer without a length rests on an accepted connection.', { worker: worker.id });
    return true;
  }

  async #reportsFormation(worker: Worker, formation: string): Promise<boolean> {
    for (let reports = 0; reports < REPORTS; reports += 1) {
      const report = await this.#options.report(worker, TIMEOUT_MILLISECONDS);
      if (report.isOk()) {
        const { bornAt, group } = report.value;
        return (bornAt === null || worker.bornAt === null || bornAt === worker.bornAt)
          && group !== null && formationName(group) === formation && group.state === 'open';
      }
    }
    return false;
  }
}
