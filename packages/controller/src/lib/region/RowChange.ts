import type { Allocation, ServicePlacement, VMId } from '@dandelionlane/core';

/** New content of the rows that one command changes. */
export default interface RowChange {
  /** Complete placement row of the service. */
  readonly placement: ServicePlacement;
  /** Allocation rows to write. */
  readonly allocate: readonly Allocation[];
  /** VMs whose allocation rows to delete. */
  readonly free: readonly VMId[];
}
