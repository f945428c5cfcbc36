import type { Allocation, ServicePlacement, VMId } from '@dandelionlane/core';

/** New content of the rows that one command touches. */
export default interface RowChange {
  /** Whole placement row of the service. */
  readonly placement: ServicePlacement;
  /** Allocation rows that are written. */
  readonly allocate: readonly Allocation[];
  /** VMs whose allocation rows are deleted. */
  readonly free: readonly VMId[];
}
