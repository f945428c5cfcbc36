/** What a request says about itself. */
export default interface RequestIdentity {
  readonly requestId: string | null;
  readonly idempotencyKey: string | null;
  readonly team: string | null;
  readonly method: string;
  readonly path: string;
  /** Replica that the request is meant for. */
  readonly replica: string | null;
}
