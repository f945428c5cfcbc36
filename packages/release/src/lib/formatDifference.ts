import type ReleaseDifference from './ReleaseDifference.js';

const DEFAULT_WEIGHT = 1;

function formatValue(value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(value);
}

/** Formats a difference as text lines: `+` added, `~` changed, `-` withdrawn. */
export default function formatDifference(difference: ReleaseDifference): readonly string[] {
  switch (difference.kind) {
    case 'service-added': {
      const {
        service, team, kind, version, replicas, vmsPerReplica,
      } = difference.definition;
      const size = `${replicas} replicas of ${vmsPerReplica} VMs`;
      return [`+ service ${service} (${kind}, team ${team}, version ${version}, ${size})`];
    }
    case 'service-changed':
      return difference.fields.map(({ field, before, after }) => (
        `~ service ${difference.service} ${field}: ${formatValue(before)} -> ${formatValue(after)}`
      ));
    case 'service-withdrawn':
      return [`- service ${difference.service}`];
    case 'team-weight-changed':
      return [`~ team ${difference.team} weight: ${difference.before ?? DEFAULT_WEIGHT} -> ${difference.after}`];
    default:
      return difference satisfies never;
  }
}
