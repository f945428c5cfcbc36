import {
  type ReleaseChange, type ReleaseSequence, type ReleaseState, ServingError,
} from '@dandelionlane/core';
import { err, type Result, ResultAsync } from 'neverthrow';
import attemptPublish from './attemptPublish.js';
import type Publication from './Publication.js';
import type PublishDependencies from './PublishDependencies.js';
import createUnknownOutcomeError from './createUnknownOutcomeError.js';

const MAXIMUM_ATTEMPTS = 16;

function giveUp({ isOutcomeUnknown }: Publication): ServingError {
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
  return err(giveUp(publication));
}

/**
 * Publishes a change: one transaction, conditioned on the head row, writes the head and
 * the record. A publisher that loses a race reads the newer records, validates again and
 * tries again, a bounded number of times. An answer that was lost is settled by the
 * nonce in the log. `known` saves reads; any accepted state will do.
 *
 * Errors: `release-invalid`, `release-conflict`, `store-unavailable` and `overloaded`
 * mean that the change is not in the log and never will be. `store-outcome-unknown`
 * means that it may be, or may yet come.
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
