import type Route from './Route.js';

/** Outcome of looking a request's host and path up. */
type RouteMatch = | { readonly kind: 'matched'; readonly route: Route }
  | { readonly kind: 'unknown' };

export default RouteMatch;
