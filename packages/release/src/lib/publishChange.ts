import {
  type ReleaseChange, type ReleaseSequence, type ReleaseState, ServingError,
} from '@dandelionlane/core';
import { err, type Result, ResultAsync } from 'neverthrow';
import attemptPublish from './attemptPublish.js';
import type Publication from './Publication.js';
import type PublishDependencies from './PublishDependencies.js';
import createUnknownOutcomeError from './createUnknownOutcomeError.js';

const MAXIMUM_ATTEMPTS = 16;

function createExhaustedError({ isOutcomeUnknown }: Publication): ServingError {
  return isOutcomeUnknown
    ? createUnknownOutcomeError()
    : new ServingError(
      `not accepted after ${MAXIMUM_ATTEMPTS} attempts: others publish, or the store's reads lag`,
      { kind: 'overloaded' },
    );
}

async function publish(
  dependencies: PublishDependencies,
  start: Publication,
): Promise<Result<ReleaseSequence, ServingError>> {
  let publication = start;
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    const step = await attemptPublish(dependencies, publication);
    if (step.kind === 'finished') {
      return step.result;
    }
    publication = step.publication;
  }
  return err(createExhaustedError(publication));
}

/**
 * Publishes a change: one transaction, conditioned on the head row, writes the head and
 * the record. A publisher that loses a race reads the newer records, validates again and
 * retries, a bounded number of times. If a response is lost, the nonce in the log shows
 * whether the change was committed. `known` saves reads; any accepted state is correct.
 *
 * Errors: `release-invalid`, `release-conflict`, `store-unavailable` and `overloaded`
 * mean that the change is not in the log and never will be. `store-outcome-unknown`
 * means that it may be in the log or may still be committed.
 *
 * @example
 * publishChange({ store, clock, createNonce }, state, { kind: 'note', note })
 *   .map((sequence) => ({ sequence }));
 */
export default function publishChange(
  dependencies: PublishDependencies,
  known: ReleaseState,
  change: ReleaseChange,
): ResultAsync<ReleaseSequence, ServingError> {
  const start: Publication = {
    change, nonce: dependencies.createNonce(), state: known, isOutcomeUnknown: false,
  };
  return new ResultAsync(publish(dependencies, start));
}
