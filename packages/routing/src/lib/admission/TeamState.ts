import type { Priority, RequestId, TeamId } from '@dandelionlane/core';
import type AdmissionRequest from './AdmissionRequest.js';

/** Requests in order of arrival. Insertion order of the map is the order of service. */
type Waiting = Map<RequestId, AdmissionRequest>;

/** One team's requests, in flight and waiting. */
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

  /** Number of the admission that served this team last, for turns among equals. */
  get lastAdmission(): number {
    return this.#lastAdmission;
  }

  /** Requests in flight, by weight. */
  get level(): number {
    return this.running / this.weight;
  }

  /** Requests that wait, of both priorities. */
  get queued(): number {
    return this.waiting.interactive.size + this.waiting.batch.size;
  }

  /** Requests in flight and waiting. */
  get demand(): number {
    return this.running + this.queued;
  }

  /** Notes that a request of this team was admitted, as the `admission`-th over all teams. */
  recordAdmission(admission: number): void {
    this.#running += 1;
    this.#lastAdmission = admission;
  }

  /** Notes that a request in flight ended. */
  recordRelease(): void {
    this.#running -= 1;
  }
}
