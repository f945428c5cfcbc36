import type { ServingError } from '@dandelionlane/core';

/** A refusal with the status that the engine answers it with. */
export default interface Refusal {
  readonly error: ServingError;
  readonly status: 409 | 503;
}
