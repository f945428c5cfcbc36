import type { ReleaseState } from '@dandelionlane/core';

/** Returns the newer of two states, or the current one if both have the same sequence. */
export default function chooseNewerState(current: ReleaseState, candidate: ReleaseState): ReleaseState {
  return candidate.sequence > current.sequence ? candidate : current;
}
