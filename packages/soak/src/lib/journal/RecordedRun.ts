import type WorkerRun from './WorkerRun.js';

/** A run whose worker notes how it goes. */
export default class RecordedRun implements WorkerRun {
  readonly requestId: string;

  readonly worker: string;

  readonly signature: string;

  readonly body: string;

  readonly team: string | null;

  readonly startedAt: number;

  #answeredAt: number | null = null;

  #brokenAt: number | null = null;

  #abandonedAt: number | null = null;

  constructor(run: Omit<WorkerRun, 'answeredAt' | 'brokenAt' | 'abandonedAt'>) {
    this.requestId = run.requestId;
    this.worker = run.worker;
    this.signature = run.signature;
    this.body = run.body;
    this.team = run.team;
    this.startedAt = run.startedAt;
  }

  get answeredAt(): number | null {
    return this.#answeredAt;
  }

  get brokenAt(): number | null {
    return this.#brokenAt;
  }

  get abandonedAt(): number | null {
    return this.#abandonedAt;
  }

  noteAnswered(now: number): void {
    this.#answeredAt = now;
  }

  noteBroken(now: number): void {
    this.#brokenAt ??= now;
  }

  noteAbandoned(now: number): void {
    this.#abandonedAt ??= now;
  }
}
