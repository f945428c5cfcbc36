import type Call from './Call.js';
import type GatewayContext from './GatewayContext.js';

/**
 * Whether the configuration gives the requests of a call's service different priorities. Otherwise requests
 * are admitted by deadline and arrival alone, and teams do not share.
 */
export default function isRanked({ configuration: { table } }: GatewayContext, { service }: Call): boolean {
  return table?.ranksRequests(service) === true;
}
