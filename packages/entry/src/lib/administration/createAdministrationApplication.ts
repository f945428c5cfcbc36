import { createHash, timingSafeEqual } from 'node:crypto';
import { Hono } from 'hono';
import { ResultAsync } from 'neverthrow';
import {
  ChangeRequest, createNonce, EMPTY_RELEASE_STATE, parseWith, ServicePlacement, ServingError,
  TABLE_NAMES,
  type ChangeAccepted, type Clock, type RegionId, type ReleaseDocument, type StatusDocument, type TableStore,
} from '@dandelionlane/core';
import { publishChange } from '@dandelionlane/release';
import type { Log } from '@dandelionlane/telemetry';
import type EntryGroup from '../peers/EntryGroup.js';
import type ReleaseTracker from '../release/ReleaseTracker.js';
import problemResponse from '../requests/problemResponse.js';

const MAXIMUM_BODY_CHARACTERS = 4 * 1_024 * 1_024;
const MAXIMUM_STORE_READ_AGE_MILLISECONDS = 5_000;
const STATUS_CREATED = 201;

/** Dependencies and settings of `createAdministrationApplication`. */
interface AdministrationOptions {
  readonly region: RegionId;
  readonly token: string;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly release: ReleaseTracker;
  readonly group: EntryGroup;
  readonly log: Log;
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Compares in constant time. Hashing gives both sides the equal length that the comparison requires. */
function isAuthorized(header: string | undefined, token: string): boolean {
  return timingSafeEqual(digest(header ?? ''), digest(`Bearer ${token}`));
}

function parseJSON(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** HTTP application of the operators' port. Every path under `/admin/` requires the bearer token. */
export default function createAdministrationApplication(options: AdministrationOptions) {
  const {
    release, store, group, region, clock,
  } = options;
  const application = new Hono();

  function readPlacements(): ResultAsync<readonly ServicePlacement[], ServingError> {
    return store.scan(TABLE_NAMES.placements, `${region}/`).map((rows) => rows
      .map((row) => ServicePlacement.safeParse(row.value))
      .filter((parsed) => parsed.success)
      .map((parsed) => parsed.data));
  }

  async function createStatus(): Promise<StatusDocument> {
    const state = release.state() ?? EMPTY_RELEASE_STATE;
    const placements = (await readPlacements()).unwrapOr([]);
    const wanted = new Map(state.services.map(({ definition }) => [definition.service, definition.replicas]));
    const placed = new Map(placements.map((placement) => [placement.service, placement.replicas]));
    const services = [...new Set([...wanted.keys(), ...placed.keys()])].sort();
    return {
      sequence: state.sequence,
      storeReachable: release.storeReadAgeMilliseconds() < MAXIMUM_STORE_READ_AGE_MILLISECONDS,
      entries: group.members().map(({ entry, state: memberState, sequenceInForce }) => ({
        entry: entry.entry, availabilityZone: entry.availabilityZone, state: memberState, sequenceInForce,
      })),
      services: services.map((service) => {
        const replicas = placed.get(service) ?? [];
        return {
          service,
          replicasWanted: wanted.get(service) ?? 0,
          replicasServing: replicas.filter((replica) => replica.state === 'serving').length,
          replicas: replicas.map((replica) => ({
            replica: replica.replica,
            state: replica.state,
            version: replica.version,
            vms: replica.members.map(({ vm }) => vm),
          })),
        };
      }),
      availabilityZonesOut: [...state.availabilityZonesOut],
      vmsOut: [...state.vmsOut],
    };
  }

  application.use('/admin/*', async (context, next) => {
    if (!isAuthorized(context.req.header('authorization'), options.token)) {
      return problemResponse(new ServingError('a valid token is needed', { kind: 'unauthorized' }));
    }
    await next();
    return undefined;
  });

  application.get('/admin/v1/release', (context) => {
    const state = release.state();
    if (state === null) {
      return problemResponse(new ServingError('no release state yet', { kind: 'no-accepted-state' }));
    }
    const document: ReleaseDocument = { state };
    return context.json(document);
  });

  application.get('/admin/v1/status', async (context) => context.json(await createStatus()));

  application.get('/admin/v1/members', (context) => context.json({ members: group.members() }));

  application.post('/admin/v1/changes', async (context) => {
    const text = await context.req.text();
    if (text.length > MAXIMUM_BODY_CHARACTERS) {
      return problemResponse(new ServingError('change is too large', { kind: 'body-too-large' }));
    }
    const published = await parseWith(ChangeRequest, parseJSON(text), 'release-invalid')
      .asyncAndThen(({ change }) => (
        publishChange({ store, clock, createNonce }, release.state() ?? EMPTY_RELEASE_STATE, change)
      ));
    if (published.isErr()) {
      options.log.warn('Change refused.', { kind: published.error.kind, detail: published.error.message });
      return problemResponse(published.error);
    }
    options.log.info('Change accepted.', { sequence: published.value });
    await release.readStore();
    const accepted: ChangeAccepted = { sequence: published.value };
    return context.json(accepted, STATUS_CREATED);
  });

  application.notFound((context) => problemResponse(
    new ServingError(`no interface at ${context.req.path}`, { kind: 'unknown-path' }),
  ));
  return application;
}
