import compareForRemoval from './compareForRemoval.js';
import countByZone from './countByZone.js';
import type ReplicaView from './ReplicaView.js';

/** Chooses replicas to remove, one by one, since each removal changes the zones' counts. */
export default function chooseForRemoval(
  views: readonly ReplicaView[],
  count: number,
  freesCapacity: (view: ReplicaView) => boolean = () => false,
): readonly ReplicaView[] {
  const left = [...views];
  const chosen: ReplicaView[] = [];
  const counts = countByZone(left);
  while (chosen.length < count && left.length > 0) {
    const view = left.reduce((best, next) => (
      compareForRemoval(next, best, counts, freesCapacity) < 0 ? next : best));
    left.splice(left.indexOf(view), 1);
    chosen.push(view);
    counts.set(view.availabilityZone, (counts.get(view.availabilityZone) ?? 0) - 1);
  }
  return chosen;
}
