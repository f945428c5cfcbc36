import type ReleaseHead from '../lib/messages/ReleaseHead.js';
import type ReleaseDisseminationCommand from '../lib/release/ReleaseDisseminationCommand.js';
import type ReleaseDisseminationEvent from '../lib/release/ReleaseDisseminationEvent.js';

/** Common interface of `ReleaseDissemination` and its naive baseline. */
export default interface DisseminationProcess {
  step(
    event: ReleaseDisseminationEvent,
    monotonicMilliseconds: number,
  ): readonly ReleaseDisseminationCommand[];
  head(): ReleaseHead;
}
