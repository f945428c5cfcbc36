import { err, ok, type Result } from 'neverthrow';
import { ServingError } from '@dandelionlane/core';
import type { Route, RoutingTable, Team } from '@dandelionlane/fleet';
import type CallMetadata from '../wire/CallMetadata.js';
import type Call from './Call.js';
import type GatewayContext from './GatewayContext.js';
import type ReceivedRequest from './ReceivedRequest.js';
import pickService from './pickService.js';

function identifyTeam(
  table: RoutingTable,
  route: Route,
  metadata: CallMetadata,
): Result<Team | null, ServingError> {
  const team = metadata.apiKey === null ? undefined : table.teamOf(metadata.apiKey);
  if (team === undefined && table.hasTeams && !route.anonymous) {
    return err(new ServingError('API key is missing or unknown', { kind: 'unknown-team' }));
  }
  return ok(team ?? null);
}

/** Determines the route, team and service of a request by one version of the configuration. */
export default function admitCall(
  context: GatewayContext,
  {
    incoming, outgoing, table, metadata, origin, receivedAt, log,
  }: ReceivedRequest,
): Result<Omit<Call, 'body' | 'suspects'>, ServingError> {
  const path = incoming.url ?? '/';
  const match = table.match(incoming.headers.host ?? '', path);
  if (match.kind === 'unknown') {
    return err(new ServingError('no route for this host and path', { kind: 'unknown-path' }));
  }
  const { route } = match;
  return identifyTeam(table, route, metadata).andThen((team): Result<Omit<Call, 'body' | 'suspects'>, ServingError> => {
    const service = pickService(route, context.random);
    const profile = service === null ? undefined : table.configuration.services.get(service);
    if (service === null || profile === undefined) {
      return err(new ServingError('the route names no known service', { kind: 'no-whole-replica' }));
    }
    log.set('route', route.name);
    log.set('service', service);
    log.set('team', team?.id);
    log.set('model', metadata.model);
    const callerTimeoutMilliseconds = metadata.deadlineMilliseconds ?? route.timeoutMilliseconds;
    const spent = context.spentTimeEstimator.estimateMilliseconds(route, metadata.deadlineMilliseconds);
    log.set('deadlineMilliseconds', metadata.deadlineMilliseconds);
    log.set('spentMilliseconds', spent === 0 ? undefined : spent);
    return ok({
      method: incoming.method ?? 'GET',
      path,
      headers: incoming.headers,
      metadata,
      origin,
      earlierExecutions: origin === 'entry' ? metadata.earlierExecutions : 0,
      mayHaveRun: origin === 'entry' && (metadata.mayHaveRun ?? metadata.earlierExecutions > 0),
      route,
      service,
      profile,
      team,
      receivedAt,
      onTimeUntil: receivedAt + (route.targetLatencyMilliseconds || Number.POSITIVE_INFINITY) - spent,
      deadlineAt: receivedAt + Math.min(callerTimeoutMilliseconds, route.timeoutMilliseconds),
      outgoing,
      log,
    });
  });
}
