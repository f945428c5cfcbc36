import { pipeline } from 'node:stream/promises';
import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import {
  HEADERS, ServingError, combineSignals,
  type AvailabilityZoneId, type Clock, type EntryId, type EntryRecord,
} from '@dandelionlane/core';
import { isNeverSent } from '@dandelionlane/platform';
import type { Log } from '@dandelionlane/telemetry';
import mayBeRefusal from '../dispatch/mayBeRefusal.js';
import readProblemKind from '../dispatch/readProblemKind.js';
import type AnswerHead from '../requests/AnswerHead.js';
import type CallerRequest from '../requests/CallerRequest.js';
import targetHeaders from '../requests/targetHeaders.js';
import withoutConnectionHeaders from '../requests/withoutConnectionHeaders.js';

/** Dependencies and settings of a `RequestForwarder`. */
interface RequestForwarderOptions {
  readonly entry: EntryId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly log: Log;
}

/** Forwards requests to a home entry of their service. A forwarded request is not forwarded again. */
export default class RequestForwarder {
  readonly #options: RequestForwarderOptions;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
  }

  /**
   * Tries the homes in turn, those of this availability zone first, until one can be reached
   * and accepts the request, and relays its answer. Errors: `home-unreachable` if no home
   * accepted the request; `target-lost` if a connection failed after the request may have been sent.
   */
  async forward(request: CallerRequest, homes: readonly EntryRecord[]): Promise<Result<void, ServingError>> {
    const sameZoneHomes = homes.filter((home) => home.availabilityZone === this.#options.availabilityZone);
    const otherZoneHomes = homes.filter((home) => !sameZoneHomes.includes(home));
    for (const home of [...sameZoneHomes, ...otherZoneHomes]) {
      this.#options.log.info('Request forwarded.', {
        request: request.requestId, service: request.definition.service, home: home.entry,
      });
      const relayed = await this.#relay(request, home);
      if (relayed.isOk() || relayed.error.kind !== 'home-unreachable') {
        return relayed;
      }
    }
    return err(new ServingError('no home entry of the service can be reached', { kind: 'home-unreachable' }));
  }

  async #relay(request: CallerRequest, home: EntryRecord): Promise<Result<void, ServingError>> {
    const { outgoing } = request;
    const remaining = Math.max(1, request.deadlineMilliseconds - this.#options.clock.monotonicMilliseconds());
    try {
      const answer = await this.#options.dispatcher.request({
        origin: `http://${home.callerAddress}`,
        path: request.originalPath,
        method: request.method,
        headers: {
          ...targetHeaders(request, null),
          [HEADERS.forwardedBy]: this.#options.entry,
          [HEADERS.timeout]: String(Math.ceil(remaining)),
        },
        body: request.body.length === 0 ? null : request.body,
        signal: combineSignals([request.callerGone, AbortSignal.timeout(Math.ceil(remaining))]),
        headersTimeout: remaining,
        bodyTimeout: remaining,
      });
      const head = { status: answer.statusCode, headers: answer.headers };
      if (mayBeRefusal(head)) {
        return await this.#relayProblem(request, home, head, Buffer.from(await answer.body.arrayBuffer()));
      }
      outgoing.writeHead(head.status, withoutConnectionHeaders(head.headers));
      await pipeline(answer.body, outgoing);
      return ok(undefined);
    } catch (cause) {
      const kind = isNeverSent(cause) ? 'home-unreachable' : 'target-lost';
      return err(new ServingError(`home entry ${home.entry} was lost`, { kind, cause }));
    }
  }

  /** Relays a refusal, unless its kind is `home-unreachable` and the next home is to be tried. */
  // eslint-disable-next-line class-methods-use-this -- belongs to relaying
  async #relayProblem(
    { outgoing }: CallerRequest,
    home: EntryRecord,
    { status, headers }: AnswerHead,
    body: Buffer,
  ): Promise<Result<void, ServingError>> {
    if (readProblemKind(body) === 'home-unreachable') {
      return err(new ServingError(`${home.entry} serves no such request`, { kind: 'home-unreachable' }));
    }
    outgoing.writeHead(status, { ...withoutConnectionHeaders(headers), 'content-length': body.length });
    outgoing.end(body);
    return ok(undefined);
  }
}
