import type { ReplicaId } from '@dandelionlane/core';
import { mayHaveRun, type AttemptProgress } from '@dandelionlane/routing';
import type CallerRequest from '../requests/CallerRequest.js';
import type StreamRelay from '../streams/StreamRelay.js';
import type ServiceTargets from '../targets/ServiceTargets.js';

/** State of a request across its attempts. */
export default class DispatchContext {
  readonly request: CallerRequest;

  readonly targets: ServiceTargets;

  readonly relay: StreamRelay;

  /** Aborts the attempts, at the deadline or when the caller disconnects. */
  readonly signal: AbortSignal;

  #tried: readonly ReplicaId[] = [];

  #mayHaveRun = false;

  constructor(request: CallerRequest, targets: ServiceTargets, relay: StreamRelay, signal: AbortSignal) {
    this.request = request;
    this.targets = targets;
    this.relay = relay;
    this.signal = signal;
  }

  /** Replicas that the request was sent to, in order. */
  get tried(): readonly ReplicaId[] {
    return this.#tried;
  }

  get attempts(): number {
    return this.#tried.length;
  }

  /** Whether a target may have executed an earlier attempt. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  recordAttempt(replica: ReplicaId): void {
    this.#tried = [...this.#tried, replica];
  }

  recordFailure(progress: AttemptProgress): void {
    this.#mayHaveRun ||= mayHaveRun(progress);
  }
}
