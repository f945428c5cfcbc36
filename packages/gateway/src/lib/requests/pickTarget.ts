import type { WorkerId } from '@dandelionlane/core';
import type Choice from '../choice/Choice.js';
import type StreamNeed from '../choice/StreamNeed.js';
import chooseTarget from '../choice/chooseTarget.js';
import listCandidates from '../choice/listCandidates.js';
import type Call from './Call.js';
import type GatewayParts from './GatewayParts.js';

function needOf(parts: GatewayParts, call: Call, goesOn: boolean): StreamNeed | null {
  const { profile: { engine }, route: { request }, said: { model, promptTokens } } = call;
  return engine === null ? null : {
    engine,
    model,
    timing: parts.timings.of(engine, model),
    promptTokens,
    firstEventBudgetMilliseconds: goesOn
      ? Number.POSITIVE_INFINITY : call.onTimeUntil - parts.clock.monotonicMilliseconds(),
    pauseAimMilliseconds: request.kind === 'stream' ? request.targetGapMilliseconds : null,
  };
}

/**
 * Chooses a target for a request among those that it has not been to.
 * @param goesOn Whether a target has begun it already: it takes any place then.
 */
export default function pickTarget(
  parts: GatewayParts,
  call: Call,
  excluded: ReadonlySet<WorkerId>,
  goesOn = false,
): Choice {
  const candidates = listCandidates({
    service: call.profile,
    model: call.said.model,
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
    need: needOf(parts, call, goesOn),
  });
}
