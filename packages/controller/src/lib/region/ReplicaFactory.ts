import {
  FencingNumber, ReplicaId, type Replica, type ReplicaMember, type ServiceId,
} from '@dandelionlane/core';

/** Exclusive upper bound of the order numbers of one lease term. */
const ORDERS_PER_LEASE = 2 ** 20;
const MAXIMUM_SERVICE_PREFIX = 72;
const ID_RADIX = 36;

/**
 * Creates replicas, and the fencing numbers of orders, for the holder of one lease.
 *
 * Invariant: fencing numbers increase strictly over all orders of a region, within a term by
 * a counter and across terms by the fencing number of the lease.
 */
export default class ReplicaFactory {
  readonly #leaseFencing: FencingNumber;

  #orders = 0;

  constructor(leaseFencing: FencingNumber) {
    this.#leaseFencing = leaseFencing;
  }

  /** Whether the term has no fencing numbers left; the holder then releases its lease. */
  isExhausted(): boolean {
    return this.#orders >= ORDERS_PER_LEASE - 1;
  }

  nextFencing(): FencingNumber {
    this.#orders += 1;
    return FencingNumber.parse(this.#leaseFencing * ORDERS_PER_LEASE + this.#orders);
  }

  create(service: ServiceId, version: string, members: readonly ReplicaMember[]): Replica {
    const fencing = this.nextFencing();
    const prefix = service.slice(0, MAXIMUM_SERVICE_PREFIX);
    return {
      replica: ReplicaId.parse(`${prefix}.${fencing.toString(ID_RADIX)}`),
      service,
      version,
      state: 'loading',
      fencing,
      members: [...members],
      grants: [],
    };
  }
}
