/** Features of the policy that a run may disable to measure the effect of each. */
export default interface RoutingPolicyOptions {
  readonly hasAffinity: boolean;
  readonly hasLocalLoad: boolean;
  readonly hasEjection: boolean;
}
