import { setTimeout as sleep } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import type { Clock, ServingError } from '@dandelionlane/core';
import {
  formationName, type ProbeOutcome, type Worker, type WorkerReport, type WorkerTable,
} from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type Candidate from '../choice/Candidate.js';
import type EndEvidence from './EndEvidence.js';

/** Time for an answer of the target, in ms: one that has ended refuses at once, a busy one answers late. */
const TIMEOUT_MILLISECONDS = 1_000;

/** Reports that are asked for, as the first may go out on a kept connection that has just been closed. */
const REPORTS = 2;

/** Time in which a target without a group has to answer, in ms. */
const PROBING_MILLISECONDS = REPORTS * TIMEOUT_MILLISECONDS;

/** Pause before a second probe, in ms, which doubles: the target may be at its limit, or about to end. */
const FIRST_PAUSE_MILLISECONDS = 20;

/** Dependencies of a `ServingCheck`. */
interface ServingCheckOptions {
  /** Asks a worker for its report. */
  readonly report: (worker: Worker, timeoutMilliseconds: number) => ResultAsync<WorkerReport, ServingError>;
  /** Asks at the address of a worker for a sign of life, over a new connection. Never rejects. */
  readonly probe: (worker: Worker, timeoutMilliseconds: number) => Promise<ProbeOutcome>;
  readonly workers: Pick<WorkerTable, 'isReplaced'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Tells the sound end of an answer without a length from the end of the target. A process that ends closes
 * its connections as it does after a whole answer, and then answers no more; a head that cuts the work of
 * its group goes on, and its group does not. Only an answer shows that a target goes on: after the loss of a
 * host nothing refuses connections, and what stands before a target may accept them in its place.
 */
export default class ServingCheck {
  readonly #options: ServingCheckOptions;

  constructor(options: ServingCheckOptions) {
    this.#options = options;
  }

  /** Whether a target serves as it did when it was chosen. Never rejects. */
  async isServing({ entry: { worker }, formation }: Candidate): Promise<boolean> {
    const evidence = await (formation === '' ? this.#askTarget(worker) : this.#askHead(worker, formation));
    if (evidence !== 'answered') {
      this.#options.metrics.count('gateway.unconfirmed_ends');
      this.#options.log.info(
        'End of an answer without a length is not confirmed.',
        { worker: worker.id, formation, evidence },
      );
    }
    return evidence === 'answered';
  }

  /** Asks a target without a group, which has no report. It resets connections beyond its limit. */
  async #askTarget(worker: Worker): Promise<EndEvidence> {
    const { probe, workers, clock } = this.#options;
    const until = clock.monotonicMilliseconds() + PROBING_MILLISECONDS;
    for (let pause = FIRST_PAUSE_MILLISECONDS; ; pause *= 2) {
      const outcome = await probe(worker, TIMEOUT_MILLISECONDS);
      switch (outcome) {
        case 'answered':
          return workers.isReplaced(worker) ? 'replaced' : 'answered';
        case 'misdirected':
          return 'replaced';
        case 'refused':
          return 'refused';
        case 'unanswered':
          break;
        default:
          outcome satisfies never;
      }
      if (clock.monotonicMilliseconds() + pause >= until) {
        return 'unanswered';
      }
      await sleep(pause);
    }
  }

  async #askHead(worker: Worker, formation: string): Promise<EndEvidence> {
    for (let reports = 0; reports < REPORTS; reports += 1) {
      const report = await this.#options.report(worker, TIMEOUT_MILLISECONDS);
      if (report.isOk()) {
        const { bornAt, group } = report.value;
        if (bornAt !== null && worker.bornAt !== null && bornAt !== worker.bornAt) {
          return 'replaced';
        }
        return group !== null && formationName(group) === formation && group.state === 'open'
          ? 'answered' : 'group-ended';
      }
    }
    return 'unanswered';
  }
}
