import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import type { Clock, ServingError } from '@dandelionlane/core';
import {
  formationName, type ProbeOutcome, type Worker, type WorkerReport, type WorkerTable,
} from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type Candidate from '../choice/Candidate.js';
import type EndCheck from './EndCheck.js';
import type EndEvidence from './EndEvidence.js';
import StandingConnection from './StandingConnection.js';

/** Time for an answer of the target, in ms: one that has ended refuses at once, a busy one answers late. */
const TIMEOUT_MILLISECONDS = 1_000;

/** Reports that are asked for, as the first may go out on a kept connection that has just been closed. */
const REPORTS = 2;

/** Time in which a target without a group has to answer, in ms. */
const PROBING_MILLISECONDS = REPORTS * TIMEOUT_MILLISECONDS;

/** Pause before a second probe, in ms, which doubles: the target may be at its limit, or about to end. */
const FIRST_PAUSE_MILLISECONDS = 20;

/** Time in which the registration of a process that has just started is heard of, in ms. */
const REGISTRATION_MILLISECONDS = 300;

/** Dependencies of a `ServingCheck`. */
interface ServingCheckOptions {
  /** Asks a worker for its report. */
  readonly report: (worker: Worker, timeoutMilliseconds: number) => ResultAsync<WorkerReport, ServingError>;
  /** Asks a worker for a sign of life, over a connection or, for null, a new one. Never rejects. */
  readonly probe: (
    worker: Worker, timeoutMilliseconds: number, connection: Socket | null,
  ) => Promise<ProbeOutcome>;
  readonly workers: Pick<WorkerTable, 'isReplaced'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Tells the sound end of an answer without a length from the end of the target. A process that ends closes
 * its connections as it does after a whole answer, and then answers no more; a head that cuts the work of
 * its group goes on, and its group does not. Only an answer shows that a target goes on: after the loss of a
 * host nothing refuses connections, and what stands before a target may accept them in its place. The answer
 * has to be that of the same process: it goes over a connection from before the end, as far as there is one.
 */
export default class ServingCheck {
  readonly #options: ServingCheckOptions;

  constructor(options: ServingCheckOptions) {
    this.#options = options;
  }

  /** Begins the check of an answer without a length, at its head. */
  begin({ entry: { worker }, formation }: Candidate): EndCheck {
    if (formation !== '') {
      return {
        isServing: () => this.#judge(worker, formation, this.#askHead(worker, formation)),
        close: () => undefined,
      };
    }
    const connection = new StandingConnection(worker.address, this.#options.clock);
    return {
      isServing: () => this.#judge(worker, formation, this.#askTarget(worker, connection)),
      close: () => connection.close(),
    };
  }

  async #judge(worker: Worker, formation: string, asked: Promise<EndEvidence>): Promise<boolean> {
    const evidence = await asked;
    if (evidence !== 'answered') {
      this.#options.metrics.count('gateway.unconfirmed_ends');
      this.#options.log.info(
        'End of an answer without a length is not confirmed.',
        { worker: worker.id, formation, evidence },
      );
    }
    return evidence === 'answered';
  }

  /**
   * Asks a target without a group, which need not have a report.
   * @param standing Connection from before the end of the answer.
   */
  async #askTarget(worker: Worker, standing: StandingConnection): Promise<EndEvidence> {
    const { state, socket } = standing.take();
    switch (state) {
      case 'open':
        return this.#weigh(worker, await this.#options.probe(worker, PROBING_MILLISECONDS, socket));
      case 'lost':
        socket.destroy();
        return 'connection-lost';
      case 'connecting':
        return this.#askAnew(worker, socket);
      default:
        return state satisfies never;
    }
  }

  /** Asks a target that rejects connections beyond its limit, or had no time to take one meanwhile. */
  async #askAnew(worker: Worker, first: Socket): Promise<EndEvidence> {
    const { probe, clock } = this.#options;
    const until = clock.monotonicMilliseconds() + PROBING_MILLISECONDS;
    let outcome = await probe(worker, TIMEOUT_MILLISECONDS, first);
    for (
      let pause = FIRST_PAUSE_MILLISECONDS;
      outcome === 'unanswered' && clock.monotonicMilliseconds() + pause < until;
      pause *= 2
    ) {
      await sleep(pause);
      outcome = await probe(worker, TIMEOUT_MILLISECONDS, null);
      if (outcome === 'answered') {
        await sleep(REGISTRATION_MILLISECONDS);
      }
    }
    return this.#weigh(worker, outcome);
  }

  /** What a probe shows, with what is registered now. */
  #weigh(worker: Worker, outcome: ProbeOutcome): EndEvidence {
    switch (outcome) {
      case 'answered':
        return this.#options.workers.isReplaced(worker) ? 'replaced' : 'answered';
      case 'misdirected':
        return 'replaced';
      case 'refused':
      case 'unanswered':
        return outcome;
      default:
        return outcome satisfies never;
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
