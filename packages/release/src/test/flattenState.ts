import type { ReleaseState } from '@dandelionlane/core';

/** Converts a state to the form of `NaiveRelease.replay`: everything in force, by name. */
export default function flattenState(state: ReleaseState): ReadonlyMap<string, unknown> {
  return new Map<string, unknown>([
    ...state.services.map(({ definition }) => [`service ${definition.service}`, definition] as const),
    ...state.teamWeights.map(({ team, weight }) => [`team ${team}`, weight] as const),
    ...state.availabilityZonesOut.map((zone) => [`out zone ${zone}`, true] as const),
    ...state.vmsOut.map((vm) => [`out vm ${vm}`, true] as const),
  ]);
}
