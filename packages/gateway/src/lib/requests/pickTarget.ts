import type { WorkerId } from '@dandelionlane/core';
import type Choice from '../choice/Choice.js';
import chooseTarget from '../choice/chooseTarget.js';
import listCandidates from '../choice/listCandidates.js';
import type Call from './Call.js';
import type GatewayParts from './GatewayParts.js';

/** Chooses a target for a request among those that it has not been to. */
export default function pickTarget(
  parts: GatewayParts,
  call: Call,
  excluded: ReadonlySet<WorkerId>,
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
    isModel: call.profile.engine !== null,
  });
}
