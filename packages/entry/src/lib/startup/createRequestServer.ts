import { ClaimStore } from '@dandelionlane/platform';
import AnswerChecker from '../dispatch/AnswerChecker.js';
import RequestDispatcher from '../dispatch/RequestDispatcher.js';
import RequestForwarder from '../forward/RequestForwarder.js';
import RequestServer from '../requests/RequestServer.js';
import type EntryComponents from './EntryComponents.js';
import type EntryRuntime from './EntryRuntime.js';

/** Creates the request server of an entry from its components. */
export default function createRequestServer(
  runtime: EntryRuntime,
  components: EntryComponents,
  isClosed: () => boolean,
): RequestServer {
  const {
    settings, clock, random, log, metrics, store, targetAgent,
  } = runtime;
  const { entry, availabilityZone, limits } = settings;
  return new RequestServer({
    ...components,
    entry,
    clock,
    claims: new ClaimStore({ store, clock, entry }),
    dispatcher: new RequestDispatcher({
      availabilityZone,
      dispatcher: targetAgent,
      clock,
      random,
      checker: new AnswerChecker(components.targets, clock, settings.timing.freshnessMilliseconds),
      maximumAnswerBytes: limits.maximumAnswerBytes,
      slowCallerTimeoutMilliseconds: limits.slowCallerTimeoutMilliseconds,
      log,
      metrics,
    }),
    forwarder: new RequestForwarder({
      entry, availabilityZone, dispatcher: targetAgent, clock, log,
    }),
    maximumBodyBytes: limits.maximumBodyBytes,
    receiveTimeoutMilliseconds: limits.receiveTimeoutMilliseconds,
    isClosed,
    log,
    metrics,
  });
}
