/** Parts of the policy that a run may leave out, to see what each is worth. */
export default interface RoutingPolicyOptions {
  readonly hasAffinity: boolean;
  readonly hasLocalLoad: boolean;
  readonly hasEjection: boolean;
}
