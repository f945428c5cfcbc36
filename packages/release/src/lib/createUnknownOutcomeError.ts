import { ServingError } from '@dandelionlane/core';

/** The error for a publication of which nobody can say yet whether it took effect. */
export default function createUnknownOutcomeError(): ServingError {
  return new ServingError(
    'the change may have been accepted: the answer was lost and the store could not be read since',
    { kind: 'store-outcome-unknown' },
  );
}
