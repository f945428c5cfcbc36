import type Call from './Call.js';

/** Key of the requests that wait for the same targets. */
export default function queueKeyOf({ service, route, metadata: { model } }: Call): string {
  return route.request.kind === 'stream' ? `${service}/${model ?? ''}` : service;
}
