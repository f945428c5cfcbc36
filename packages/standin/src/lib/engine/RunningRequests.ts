import type { Clock } from '@dandelionlane/core';
import type Journal from '../journal/Journal.js';
import type JournalRun from '../journal/JournalRun.js';
import type RunningRequest from './RunningRequest.js';

type EndedOutcome = Exclude<JournalRun['outcome'], 'running'>;

/** The requests that run on a VM. Invariant: each run ends once. */
export default class RunningRequests {
  readonly #running = new Map<JournalRun, RunningRequest>();

  readonly #journal: Journal;

  readonly #clock: Clock;

  readonly #onChange: () => void;

  constructor(journal: Journal, clock: Clock, onChange: () => void) {
    this.#journal = journal;
    this.#clock = clock;
    this.#onChange = onChange;
  }

  get count(): number {
    return this.#running.size;
  }

  /** How many of the running requests began in cold start. */
  get coldCount(): number {
    return [...this.#running.values()].filter(({ startedCold }) => startedCold).length;
  }

  /** Begins a run. `destroy` destroys the caller's connection. */
  begin(run: JournalRun, startedCold: boolean, destroy: () => void): RunningRequest {
    const abort = new AbortController();
    const end = (outcome: EndedOutcome): boolean => this.#end(run, outcome);
    const request: RunningRequest = {
      run,
      startedCold,
      signal: abort.signal,
      finish: () => {
        end('finished');
      },
      cancel: () => {
        if (end('cancelled')) {
          abort.abort();
        }
      },
      fail: () => {
        if (end('failed')) {
          abort.abort();
          destroy();
        }
      },
    };
    this.#journal.begin(run);
    this.#running.set(run, request);
    this.#onChange();
    return request;
  }

  /** Fails all running requests. */
  failAll(): void {
    [...this.#running.values()].forEach((request) => request.fail());
  }

  #end(run: JournalRun, outcome: EndedOutcome): boolean {
    if (!this.#running.delete(run)) {
      return false;
    }
    Object.assign(run, { outcome, endedAt: this.#clock.now().toISOString() });
    this.#onChange();
    return true;
  }
}
