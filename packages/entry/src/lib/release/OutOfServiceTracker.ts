import type { Clock, ReleaseState, ReplicaMember } from '@dandelionlane/core';
import type ReleaseTracker from './ReleaseTracker.js';

/** How long a VM may still receive new requests after a release that takes it out is in force here. */
const TAKE_OUT_GRACE_MILLISECONDS = 1_500;

function listOutOfService(state: ReleaseState): readonly string[] {
  return [
    ...state.availabilityZonesOut.map((zone) => `zone/${zone}`),
    ...state.vmsOut.map((vm) => `vm/${vm}`),
  ];
}

/**
 * Tracks which VMs receive no new requests because operators took them or their zone out of
 * service. The controller drains such VMs; this tracker covers the times when it cannot, such
 * as while the store is down.
 */
export default class OutOfServiceTracker {
  readonly #clock: Clock;

  /** When each zone and VM was first found out of service, on the monotonic clock in milliseconds. */
  #since: ReadonlyMap<string, number> = new Map();

  constructor(release: ReleaseTracker, clock: Clock) {
    this.#clock = clock;
    release.onChange((state) => this.#updateState(state));
  }

  /** Whether the VM receives no new requests any more. */
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
