import { ServingError } from '@dandelionlane/core';

/** Creates the error of a publication that may or may not have been committed. */
export default function createUnknownOutcomeError(): ServingError {
  return new ServingError(
    'the change may have been accepted: the answer was lost and the store could not be read since',
    { kind: 'store-outcome-unknown' },
  );
}
