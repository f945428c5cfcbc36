import type RebuildReason from './RebuildReason.js';
import type ReplicaView from './ReplicaView.js';

/** Why a replica is rebuilt. */
export default function rebuildReasonOf(view: ReplicaView): RebuildReason {
  if (view.replica.state === 'draining') return view.isOutdated ? 'version-change' : 'wanted-again';
  if (view.conditions.includes('astray')) return 'member-astray';
  if (view.conditions.includes('empty')) return 'member-restarted';
  return 'member-lost';
}
