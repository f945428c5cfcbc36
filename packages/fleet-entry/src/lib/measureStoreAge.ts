import type FleetView from './FleetView.js';
import type GroupControl from './GroupControl.js';

/** Time since the store last answered this process, in ms. */
export default function measureStoreAge({ control: { lease }, view: { operatorFollower } }: {
  readonly control: GroupControl;
  readonly view: FleetView;
}): number {
  return Math.min(lease.ageMilliseconds, operatorFollower.ageMilliseconds);
}
