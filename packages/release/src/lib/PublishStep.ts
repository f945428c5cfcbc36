import type { ReleaseSequence, ServingError } from '@dandelionlane/core';
import type { Result } from 'neverthrow';
import type Publication from './Publication.js';

/** Result of one attempt to publish. */
type PublishStep = | { readonly kind: 'finished'; readonly result: Result<ReleaseSequence, ServingError> }
  | { readonly kind: 'retry'; readonly publication: Publication };

export default PublishStep;
