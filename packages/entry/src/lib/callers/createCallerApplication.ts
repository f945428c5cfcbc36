import { Hono } from 'hono';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import {
  AvailabilityZoneId, ServiceId, ServingError,
  type EntriesDocument, type RandomSource,
} from '@dandelionlane/core';
import { orderEntriesForCaller } from '@dandelionlane/membership';
import type EntryGroup from '../peers/EntryGroup.js';
import type ReleaseTracker from '../release/ReleaseTracker.js';
import problemResponse from '../requests/problemResponse.js';
import type RequestServer from '../requests/RequestServer.js';
import writeProblem from '../requests/writeProblem.js';

const HOME_COUNT = 3;
const SERVICES_PREFIX = '/v1/services/';
const MILLISECONDS_PER_SECOND = 1_000;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Dependencies and settings of `createCallerApplication`. */
interface CallerApplicationOptions {
  readonly server: RequestServer;
  readonly group: EntryGroup;
  readonly release: ReleaseTracker;
  readonly random: RandomSource;
  readonly keepMilliseconds: number;
  /** Why the entry is not ready for new callers, or null if it is ready. */
  readonly notReadyReason: () => string | null;
}

/** Splits a raw URL into the service name and the target's path, keeping the caller's percent-encoding. */
function splitServiceURL(url: string): { readonly service: string; readonly path: string } {
  const rest = url.slice(SERVICES_PREFIX.length);
  const end = rest.search(/[/?]/);
  if (end === -1) {
    return { service: rest, path: '/' };
  }
  const path = rest.slice(end);
  return { service: rest.slice(0, end), path: path.startsWith('/') ? path : `/${path}` };
}

/** HTTP application of the callers' port. */
export default function createCallerApplication(options: CallerApplicationOptions) {
  const {
    server, group, release, random,
  } = options;
  const application = new Hono<{ Bindings: HttpBindings }>();

  application.get('/healthz', (context) => context.json({ status: 'alive' }, STATUS_OK));

  application.get('/readyz', (context) => {
    const reason = options.notReadyReason();
    return reason === null
      ? context.json({ status: 'ready' }, STATUS_OK)
      : context.json({ status: 'not ready', reason }, STATUS_UNAVAILABLE);
  });

  application.get('/v1/entries', (context) => {
    const service = ServiceId.safeParse(context.req.query('service'));
    const zone = AvailabilityZoneId.safeParse(context.req.query('zone'));
    const state = release.state();
    if (!service.success) {
      return problemResponse(new ServingError('query must name a service', { kind: 'malformed-request' }));
    }
    if (state === null) {
      return problemResponse(new ServingError('no release state yet', { kind: 'no-accepted-state' }));
    }
    const definition = release.definition(service.data);
    if (definition === undefined) {
      return problemResponse(new ServingError(`no service ${service.data}`, { kind: 'unknown-service' }));
    }
    const choices = orderEntriesForCaller({
      service: service.data,
      members: group.members(),
      availabilityZonesOut: state.availabilityZonesOut,
      callerZone: zone.success ? zone.data : undefined,
      homeCount: Math.min(HOME_COUNT, definition.limits.coldConcurrency),
      keepSeconds: options.keepMilliseconds / MILLISECONDS_PER_SECOND,
      random,
    });
    const document: EntriesDocument = {
      service: service.data,
      entries: choices.map(({ entry, keepSeconds }) => ({
        address: entry.callerAddress, availabilityZone: entry.availabilityZone, keepSeconds,
      })),
    };
    return context.json(document, STATUS_OK);
  });

  application.post('/v1/chat/completions', async (context) => {
    const { incoming, outgoing } = context.env;
    await server.serve({ kind: 'chat', method: 'POST', path: '/v1/chat/completions' }, incoming, outgoing);
    return RESPONSE_ALREADY_SENT;
  });

  application.all(`${SERVICES_PREFIX}*`, async (context) => {
    const { incoming, outgoing } = context.env;
    const { service, path } = splitServiceURL(incoming.url ?? '');
    await server.serve(
      {
        kind: 'plain', service, method: incoming.method ?? 'GET', path,
      },
      incoming,
      outgoing,
    );
    return RESPONSE_ALREADY_SENT;
  });

  application.notFound((context) => {
    writeProblem(
      context.env.outgoing,
      new ServingError(`no interface at ${context.req.path}`, { kind: 'unknown-path' }),
    );
    return RESPONSE_ALREADY_SENT;
  });

  return application;
}
