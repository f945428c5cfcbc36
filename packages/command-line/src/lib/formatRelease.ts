import type { ReleaseState } from '@dandelionlane/core';
import formatOutOfService from './formatOutOfService.js';
import formatTable from './formatTable.js';

const HEADING = ['SERVICE', 'KIND', 'TEAM', 'VERSION', 'REPLICAS', 'VMS EACH', 'CHANGED AT'];

function formatServices({ services }: ReleaseState): string {
  return formatTable([HEADING, ...services.map(({ definition, changedAt }) => [
    definition.service,
    definition.kind,
    definition.team,
    definition.version,
    String(definition.replicas),
    String(definition.vmsPerReplica),
    String(changedAt),
  ])]);
}

function formatWeights({ teamWeights }: ReleaseState): readonly string[] {
  return teamWeights.length === 0
    ? []
    : [formatTable([['TEAM', 'WEIGHT'], ...teamWeights.map(({ team, weight }) => [team, String(weight)])])];
}

/** Formats the release state as human-readable text. */
export default function formatRelease(state: ReleaseState): string {
  return [
    `change ${state.sequence}`,
    formatOutOfService(state),
    formatServices(state),
    ...formatWeights(state),
  ].join('\n');
}
