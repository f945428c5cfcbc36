import type { ServingError } from '@dandelionlane/core';
import type { Result } from 'neverthrow';

/** Kind and message of a result that a test expects to be refused. */
export default function describeRefusal(result: Result<unknown, ServingError>): string {
  return result.match((value) => `no refusal: ${JSON.stringify(value)}`, ({ kind, message }) => `${kind}: ${message}`);
}
