import type { WorkerId } from '@dandelionlane/core';
import type Choice from '../choice/Choice.js';
import type StreamRequirements from '../choice/StreamRequirements.js';
import chooseTarget from '../choice/chooseTarget.js';
import listCandidates from '../choice/listCandidates.js';
import type Call from './Call.js';
import type GatewayContext from './GatewayContext.js';

function requirementsOf(parts: GatewayContext, call: Call, goesOn: boolean): StreamRequirements | null {
  const { profile: { engine }, route: { request }, metadata: { model, promptTokens } } = call;
  return engine === null ? null : {
    engine,
    model,
    timing: parts.timings.of(engine, model),
    promptTokens,
    firstEventBudgetMilliseconds: goesOn
      ? Number.POSITIVE_INFINITY : call.onTimeUntil - parts.clock.monotonicMilliseconds(),
    pauseAimMilliseconds: request.kind === 'stream' ? request.pauseAimMilliseconds : null,
  };
}

/**
 * Chooses a target for a request among those that it has not been to.
 * @param goesOn Whether a target has begun it already: it takes any place then.
 */
export default function pickTarget(
  parts: GatewayContext,
  call: Call,
  excluded: ReadonlySet<WorkerId>,
  goesOn = false,
): Choice {
  const candidates = listCandidates({
    service: call.profile,
    model: call.metadata.model,
    workers: parts.workers,
    states: parts.states,
    closedZones: parts.closedZones(),
    excluded,
  });
  return chooseTarget({
    candidates,
    zone: parts.zone,
    entries: parts.countEntries(),
    now: parts.clock.monotonicMilliseconds(),
    random: parts.random,
    coldRequestsPerSecond: call.profile.coldRequestsPerSecond,
    requirements: requirementsOf(parts, call, goesOn),
  });
}
