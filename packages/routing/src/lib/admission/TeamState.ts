import type { Priority, RequestId, TeamId } from '@dandelionlane/core';
import type AdmissionRequest from './AdmissionRequest.js';

/** Requests in order of arrival. The insertion order of the map is the order of service. */
type Waiting = Map<RequestId, AdmissionRequest>;

/** The in-flight and waiting requests of one team. */
export default class TeamState {
  readonly team: TeamId;

  readonly weight: number;

  readonly waiting: Readonly<Record<Priority, Waiting>> = {
    interactive: new Map(),
    batch: new Map(),
  };

  #running = 0;

  #lastAdmission = 0;

  constructor(team: TeamId, weight: number) {
    this.team = team;
    this.weight = weight;
  }

  /** Requests in flight. */
  get running(): number {
    return this.#running;
  }

  /** Sequence number of the latest admission of this team; breaks ties between equal levels. */
  get lastAdmission(): number {
    return this.#lastAdmission;
  }

  /** Requests in flight divided by the weight. */
  get level(): number {
    return this.running / this.weight;
  }

  /** Requests waiting, of both priorities. */
  get queued(): number {
    return this.waiting.interactive.size + this.waiting.batch.size;
  }

  /** Requests in flight and waiting. */
  get demand(): number {
    return this.running + this.queued;
  }

  /** Records the admission of a request; `admission` is its sequence number over all teams. */
  recordAdmission(admission: number): void {
    this.#running += 1;
    this.#lastAdmission = admission;
  }

  /** Records that a request in flight ended. */
  recordRelease(): void {
    this.#running -= 1;
  }
}
