import type ReleaseHead from '../lib/messages/ReleaseHead.js';
import type ReleaseDisseminationCommand from '../lib/release/ReleaseDisseminationCommand.js';
import type ReleaseDisseminationEvent from '../lib/release/ReleaseDisseminationEvent.js';

/** What `ReleaseDissemination` and the naive version of it have in common. */
export default interface DisseminationProcess {
  step(
    event: ReleaseDisseminationEvent,
    monotonicMilliseconds: number,
  ): readonly ReleaseDisseminationCommand[];
  head(): ReleaseHead;
}
