import { type MemoryTableStore, ServingError } from '@dandelionlane/core';
import { err, ok, type Result } from 'neverthrow';
import type PlatformFault from './PlatformFault.js';
import sleep from '../sleep.js';

/** The fault that is switched on, and what it does to calls. */
export default class FaultSwitch {
  readonly #store: MemoryTableStore;

  #fault: PlatformFault = { kind: 'none' };

  constructor(store: MemoryTableStore) {
    this.#store = store;
  }

  set(fault: PlatformFault): void {
    this.#fault = fault;
    this.#store.setFault(fault.kind === 'stale-reads' ? 'stale-reads' : 'none');
  }

  /** Passes a call of the table service or object store. Error: `store-unavailable`. */
  async pass(): Promise<Result<void, ServingError>> {
    const fault = this.#fault;
    switch (fault.kind) {
      case 'unavailable':
        return err(new ServingError('the store is down', { kind: 'store-unavailable' }));
      case 'slow':
        await sleep(fault.milliseconds);
        return ok(undefined);
      case 'none':
      case 'lose-answers':
      case 'stale-reads':
        return ok(undefined);
      default:
        return fault satisfies never;
    }
  }

  /** Whether the answer to a transaction that took effect is lost. */
  get losesAnswers(): boolean {
    return this.#fault.kind === 'lose-answers';
  }
}
