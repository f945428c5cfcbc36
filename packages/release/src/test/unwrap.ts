import type { ServingError } from '@dandelionlane/core';
import type { Result } from 'neverthrow';

/** Returns the value of a result that a test expects to succeed. */
export default function unwrap<T>(result: Result<T, ServingError>): T {
  return result.match((value) => value, (error) => {
    throw new Error(`${error.kind}: ${error.message}`);
  });
}
