import type { ServingError } from '@dandelionlane/core';
import type { Result } from 'neverthrow';

/** Formats the kind and message of an error that a test expects. */
export default function describeRefusal(result: Result<unknown, ServingError>): string {
  return result.match((value) => `no refusal: ${JSON.stringify(value)}`, ({ kind, message }) => `${kind}: ${message}`);
}
