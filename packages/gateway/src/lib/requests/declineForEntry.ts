import type Call from './Call.js';
import type GatewayContext from './GatewayContext.js';

/** Marks the refusal that follows as one after which the entry that passed the request on may try another. */
export default function declineForEntry({ wire }: GatewayContext, { origin, outgoing }: Call): void {
  if (origin === 'entry' && !outgoing.headersSent) {
    Object.entries(wire.declinedHeaders).forEach(([name, value]) => outgoing.setHeader(name, value));
  }
}
