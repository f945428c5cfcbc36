import type { LinkState } from '@dandelionlane/standin';

/** A span, in monotonic ms, in which entries had lost their paths to all workers. */
export default interface PathCut {
  readonly entries: readonly string[];
  readonly state: LinkState;
  readonly from: number;
  readonly to: number;
}
