import type Route from './Route.js';

/** Result of looking up the route of a request by host and path. */
type RouteMatch = | { readonly kind: 'matched'; readonly route: Route }
  | { readonly kind: 'unknown' };

export default RouteMatch;
