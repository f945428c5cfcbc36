import type {
  Epoch, GroupName, ModelName, WorkerId,
} from '@dandelionlane/core';

/** An order to a model worker. */
type WorkerOrder = | {
  readonly kind: 'join';
  readonly group: GroupName;
  readonly epoch: Epoch;
  readonly model: ModelName;
  /** The first is the head. */
  readonly members: readonly WorkerId[];
}
  | { readonly kind: 'open'; readonly group: GroupName; readonly epoch: Epoch }
  | {
    readonly kind: 'close';
    readonly group: GroupName;
    readonly epoch: Epoch;
    /** `finish` lets running requests complete; `cut` aborts them. */
    readonly strategy: 'finish' | 'cut';
  }
  | { readonly kind: 'leave'; readonly group: GroupName; readonly epoch: Epoch }
  | { readonly kind: 'stage'; readonly model: ModelName };

export default WorkerOrder;
