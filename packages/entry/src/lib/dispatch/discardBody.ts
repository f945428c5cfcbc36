import type { Readable } from 'node:stream';

/**
 * Discards the rest of an answer and closes its connection. Destroying the body can emit
 * an error, which would end the process without a listener.
 */
export default function discardBody(body: Readable): void {
  body.on('error', () => undefined);
  body.destroy();
}
