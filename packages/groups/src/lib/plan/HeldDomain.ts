import type { ModelName } from '@dandelionlane/core';

/** A domain in which a group is dissolved for groups of another model. */
export default interface HeldDomain {
  /** Model that the free workers of the domain are for. */
  readonly model: ModelName;
  /** Whether a group forms only of workers whose hosts have the weights: more of them become free soon. */
  readonly requiresWeights: boolean;
}
