import type { Clock, VMId, VMRecord } from '@dandelionlane/core';
import LaggingValue from '../LaggingValue.js';

/** The platform's list of VMs, which readers see with a lag. */
export default class VMDirectory {
  #current: readonly VMRecord[];

  readonly #visible: LaggingValue<readonly VMRecord[]>;

  constructor(vms: readonly VMRecord[], lagMilliseconds: number, clock: Clock) {
    this.#current = vms;
    this.#visible = new LaggingValue(vms, lagMilliseconds, clock);
  }

  /** The list as readers see it. */
  list(): readonly VMRecord[] {
    return this.#visible.get();
  }

  /** Adds a VM or replaces its record. */
  put(record: VMRecord): void {
    this.#replace([...this.#current.filter(({ vm }) => vm !== record.vm), record]);
  }

  /** Sets the state of a VM; `gone` removes it. Returns whether the VM was listed. */
  setState(vm: VMId, state: 'live' | 'leaving' | 'gone'): boolean {
    const record = this.#current.find((candidate) => candidate.vm === vm);
    if (record === undefined) {
      return false;
    }
    if (state === 'gone') {
      this.#replace(this.#current.filter((candidate) => candidate.vm !== vm));
    } else {
      this.put({ ...record, state });
    }
    return true;
  }

  #replace(vms: readonly VMRecord[]): void {
    this.#current = vms;
    this.#visible.set(vms);
  }
}
