import type { Result } from 'neverthrow';
import type Engine from '../engine/Engine.js';
import type Refusal from '../engine/Refusal.js';
import type RequestIdentity from '../engine/RequestIdentity.js';
import type RunningRequest from '../engine/RunningRequest.js';
import type ServerContext from '../server/ServerContext.js';

/** Accepts a request; its run is cancelled when the caller goes away first. */
export default function acceptCall(
  context: ServerContext,
  engine: Engine,
  identity: RequestIdentity,
): Result<RunningRequest, Refusal> {
  const { outgoing } = context.env;
  return engine.accept(identity, () => outgoing.destroy()).map((request) => {
    outgoing.once('close', () => request.cancel());
    if (outgoing.destroyed) {
      request.cancel();
    }
    return request;
  });
}
