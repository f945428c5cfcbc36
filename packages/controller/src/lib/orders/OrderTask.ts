import type { EngineOrder, VMId } from '@dandelionlane/core';

/** An order that is due, and the VM that receives it. */
export default interface OrderTask {
  readonly vm: VMId;
  readonly address: string;
  readonly order: EngineOrder;
}
