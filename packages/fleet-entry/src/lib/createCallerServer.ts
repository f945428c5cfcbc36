import { createServer, type Server } from 'node:http';
import type { ConfigurationHolder } from '@dandelionlane/fleet';
import type { RequestServer } from '@dandelionlane/gateway';

/** Largest total size of the headers of a request, in bytes: more than configurations allow. */
const MAXIMUM_HEADER_BYTES = 64 * 1_024;

/** Idle timeout of callers' connections until a configuration sets it, in ms. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** Creates the server that callers connect to. Applies the limits of the configuration in force. */
export default function createCallerServer(
  requests: RequestServer,
  configuration: ConfigurationHolder,
): Server {
  const server = createServer({
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
    requestTimeout: 0,
  }, (incoming, outgoing) => {
    const limits = configuration.table?.configuration.limits;
    if (limits !== undefined) {
      server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
      server.headersTimeout = limits.headerTimeoutMilliseconds;
    }
    void requests.handle(incoming, outgoing);
  });
  return server;
}
