import type { Readable } from 'node:stream';

/**
 * Drops the rest of an answer and its connection. Without a listener the error that this
 * raises on the body would end the process.
 */
export default function discardBody(body: Readable): void {
  body.on('error', () => undefined);
  body.destroy();
}
