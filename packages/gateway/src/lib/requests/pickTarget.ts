import type { WorkerId } from '@dandelionlane/core';
import type Choice from '../choice/Choice.js';
import type StreamRequirements from '../choice/StreamRequirements.js';
import NO_TRAFFIC from '../choice/NO_TRAFFIC.js';
import measureTraffic from './measureTraffic.js';
import chooseTarget from '../choice/chooseTarget.js';
import listCandidates from '../choice/listCandidates.js';
import pickPeer from '../peers/pickPeer.js';
import type Call from './Call.js';
import type GatewayContext from './GatewayContext.js';
import priorityOf from './priorityOf.js';

function requirementsOf(context: GatewayContext, call: Call, hasStarted: boolean): StreamRequirements | null {
  const { profile: { engine }, route: { request }, metadata: { model, promptTokens } } = call;
  return engine === null ? null : {
    engine,
    model,
    timing: context.timings.of(engine, model),
    promptTokens,
    firstEventBudgetMilliseconds: hasStarted
      ? Number.POSITIVE_INFINITY : call.onTimeUntil - context.clock.monotonicMilliseconds(),
    ...(hasStarted ? {} : { priority: priorityOf(call) }),
    targetGapMilliseconds: request.kind === 'stream' ? request.targetGapMilliseconds : null,
  };
}

/** Number of entries, including this one, that one without paths may pass requests for a service on to. */
function countReaching({ peers }: GatewayContext, { service }: Call): number {
  return 1 + peers().filter(({ ready, unreachable }) => ready && !unreachable.includes(service)).length;
}

/**
 * Chooses a target for a request among those that it has not tried. While this entry can reach none, it
 * chooses another entry, unless the request has come from one.
 * @param hasStarted Whether a target has already started it: it then takes any slot.
 */
export default function pickTarget(
  context: GatewayContext,
  call: Call,
  excluded: ReadonlySet<WorkerId>,
  hasStarted = false,
): Choice {
  if (context.paths.isLost(call.service)) {
    if (call.origin === 'entry') {
      return { kind: 'none', reason: 'no-path' };
    }
    const choice = pickPeer(context, call, excluded);
    if (choice !== null) {
      return choice;
    }
  }
  const candidates = listCandidates({
    service: call.profile,
    model: call.metadata.model,
    workers: context.workers,
    states: context.states,
    closedZones: context.closedZones(),
    excluded,
  });
  const { model } = call.metadata;
  const entries = context.countEntries();
  const own = model === null ? NO_TRAFFIC : measureTraffic(context, model);
  return chooseTarget({
    candidates,
    zone: context.zone,
    entries,
    unsharedMilliseconds: context.states.unsharedMilliseconds,
    traffic: { own, all: model === null ? own : context.sharedTraffic.estimate(model, own, entries) },
    now: context.clock.monotonicMilliseconds(),
    random: context.random,
    coldRequestsPerSecond: call.profile.coldRequestsPerSecond,
    sharingEntries: call.origin === 'entry' ? countReaching(context, call) : 1,
    requirements: requirementsOf(context, call, hasStarted),
  });
}
