import type { EngineOrder, VMId } from '@dandelionlane/core';

/** An order that is due, with the VM it goes to. */
export default interface OrderTask {
  readonly vm: VMId;
  readonly address: string;
  readonly order: EngineOrder;
}
