import type PlaceReason from './PlaceReason.js';
import type ServiceView from './ServiceView.js';

/** Why a service needs a new replica. */
export default function placeReasonOf(view: ServiceView): PlaceReason {
  if (view.outdated.length > 0) return 'version-change';
  if ([...view.unwanted, ...view.draining]
    .some(({ outOfServiceReason }) => outOfServiceReason !== null)) return 'out-of-service';
  if (view.broken.length > 0) return 'replica-lost';
  return 'below-wanted';
}
