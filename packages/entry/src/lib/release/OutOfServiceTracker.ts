import type { Clock, ReleaseState, ReplicaMember } from '@dandelionlane/core';
import type ReleaseTracker from './ReleaseTracker.js';

/** How long after a take-out came into force here its VMs may still get new work. */
const TAKE_OUT_GRACE_MILLISECONDS = 1_500;

function listOutOfService(state: ReleaseState): readonly string[] {
  return [
    ...state.availabilityZonesOut.map((zone) => `zone/${zone}`),
    ...state.vmsOut.map((vm) => `vm/${vm}`),
  ];
}

/**
 * Which VMs get no new work because operators took them or their zone out. The
 * controller drains them; this holds also when it cannot, as while the store is down.
 */
export default class OutOfServiceTracker {
  readonly #clock: Clock;

  /** When each zone and VM that is out was first seen out, on the monotonic clock. */
  #since: ReadonlyMap<string, number> = new Map();

  constructor(release: ReleaseTracker, clock: Clock) {
    this.#clock = clock;
    release.onChange((state) => this.#updateState(state));
  }

  /** Whether new work for the VM is over. */
  isOut({ vm, availabilityZone }: ReplicaMember): boolean {
    const now = this.#clock.monotonicMilliseconds();
    return [`zone/${availabilityZone}`, `vm/${vm}`].some((name) => (
      now - (this.#since.get(name) ?? Infinity) >= TAKE_OUT_GRACE_MILLISECONDS
    ));
  }

  #updateState(state: ReleaseState): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#since = new Map(listOutOfService(state).map((name) => [name, this.#since.get(name) ?? now]));
  }
}
