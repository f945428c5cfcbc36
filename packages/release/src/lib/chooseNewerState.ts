import type { ReleaseState } from '@dandelionlane/core';

/** The newer of two states; the current one where they are equally new. Never goes back. */
export default function chooseNewerState(current: ReleaseState, offered: ReleaseState): ReleaseState {
  return offered.sequence > current.sequence ? offered : current;
}
