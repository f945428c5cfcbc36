import {
  type EngineOrder, FencingNumber, Incarnation, ServingError, type VMPhase,
} from '@dandelionlane/core';
import { err, ok, type Result } from 'neverthrow';
import type EngineParts from './EngineParts.js';
import fetchWeights from './fetchWeights.js';
import isSameLoad from './isSameLoad.js';
import type LoadOrder from './LoadOrder.js';
import ReplicaMembers from './ReplicaMembers.js';
import sleep from '../sleep.js';

/** Stops the requests that run on the engine. */
type StopRequests = () => void;

/**
 * What a VM carries and how it got there: `empty`, `loading`, `cold`, `warm`,
 * `stopping`. Weights stay after an unload and are lost with the incarnation.
 */
export default class EngineLoad {
  readonly #parts: EngineParts;

  readonly #stopRequests: StopRequests;

  #phase: VMPhase = 'empty';

  #order: LoadOrder | undefined;

  #members: ReplicaMembers | undefined;

  #weights: string | undefined;

  #fencing = FencingNumber.parse(0);

  #incarnation = Incarnation.parse(0);

  #leaving = false;

  #abort = new AbortController();

  constructor(parts: EngineParts, stopRequests: StopRequests) {
    this.#parts = parts;
    this.#stopRequests = stopRequests;
    this.restart();
  }

  get phase(): VMPhase {
    return this.#phase;
  }

  get order(): LoadOrder | undefined {
    return this.#order;
  }

  get members(): ReplicaMembers | undefined {
    return this.#members;
  }

  get fencing(): FencingNumber {
    return this.#fencing;
  }

  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  get weightsLoaded(): boolean {
    return this.#order !== undefined && this.#weights === EngineLoad.#weightsOf(this.#order);
  }

  /** Takes an order. Error: `order-refused`. */
  accept(order: EngineOrder): Result<void, ServingError> {
    if (this.#parts.vm.checksFencing && order.fencing < this.#fencing) {
      return err(new ServingError(
        `fencing number ${order.fencing} is older than ${this.#fencing}`,
        { kind: 'order-refused' },
      ));
    }
    const outcome = order.kind === 'load' ? this.#acceptLoad(order) : this.#acceptUnload(order.replica);
    return outcome.andTee(() => {
      this.#fencing = FencingNumber.parse(Math.max(order.fencing, this.#fencing));
    });
  }

  /** Falls back into cold start without warning. */
  goCold(): void {
    if (this.#phase === 'cold' || this.#phase === 'warm') {
      this.#interrupt();
      void this.#warmUp(this.#abort.signal);
    }
  }

  leave(): void {
    this.#leaving = true;
  }

  /** Loses everything and comes back empty as a new incarnation. */
  restart(): void {
    this.#interrupt();
    this.#stopRequests();
    const next = Math.max(this.#incarnation + 1, this.#parts.clock.now().getTime());
    this.#incarnation = Incarnation.parse(next);
    this.#fencing = FencingNumber.parse(0);
    this.#weights = undefined;
    this.#leaving = this.#parts.vm.state === 'leaving';
    this.#becomeEmpty();
  }

  /** To be called when the last running request has ended. */
  becomeIdle(): void {
    if (this.#phase === 'stopping') {
      this.#becomeEmpty();
    }
  }

  static #weightsOf(order: LoadOrder): string {
    return `${order.model ?? order.service}@${order.version}`;
  }

  #acceptLoad(order: LoadOrder): Result<void, ServingError> {
    const wanted = order.model === null ? 'plain' : 'model';
    if (wanted !== this.#parts.vm.kind) {
      return err(new ServingError(`this VM is for ${this.#parts.vm.kind} services`, { kind: 'order-refused' }));
    }
    if (this.#leaving) {
      return err(new ServingError('this VM is leaving', { kind: 'order-refused' }));
    }
    if (this.#order !== undefined && this.#phase !== 'stopping' && isSameLoad(this.#order, order)) {
      return ok(undefined);
    }
    this.#interrupt();
    this.#stopRequests();
    this.#order = order;
    this.#members = new ReplicaMembers(this.#parts, order);
    this.#phase = 'loading';
    void this.#load(order, this.#members, this.#abort.signal);
    return ok(undefined);
  }

  #acceptUnload(replica: string): Result<void, ServingError> {
    if (this.#order?.replica === replica) {
      this.#interrupt();
      this.#phase = 'stopping';
    }
    return ok(undefined);
  }

  async #load(order: LoadOrder, members: ReplicaMembers, signal: AbortSignal): Promise<void> {
    const weights = EngineLoad.#weightsOf(order);
    if (this.#weights !== weights) {
      this.#weights = undefined;
      await fetchWeights(this.#parts, order, signal);
    }
    if (signal.aborted) {
      return;
    }
    this.#weights = weights;
    await members.waitUntilReady(signal);
    await this.#warmUp(signal);
  }

  async #warmUp(signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    this.#phase = 'cold';
    await sleep(this.#parts.vm.timing.coldDurationMilliseconds, signal);
    if (!signal.aborted) {
      this.#phase = 'warm';
    }
  }

  #becomeEmpty(): void {
    this.#phase = 'empty';
    this.#order = undefined;
    this.#members = undefined;
  }

  #interrupt(): void {
    this.#abort.abort();
    this.#abort = new AbortController();
  }
}
