import type { ReleaseChange, ReleaseSequence, ReleaseState } from '@dandelionlane/core';
import applyNote from './applyNote.js';
import applyOutOfService from './applyOutOfService.js';

/** Fields of the state that the change replaces. */
export default function applyChange(
  state: ReleaseState,
  change: ReleaseChange,
  sequence: ReleaseSequence,
): Partial<ReleaseState> {
  switch (change.kind) {
    case 'note':
      return applyNote(state, change.note, sequence);
    case 'take-out':
      return applyOutOfService(state, change.subject, true);
    case 'bring-back':
      return applyOutOfService(state, change.subject, false);
    default:
      return change satisfies never;
  }
}
