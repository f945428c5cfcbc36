import type { IncomingMessage } from 'node:http';

/** Outcome of reading the body of a request. */
type BodyOutcome = | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'cut' };

/** Reads a whole body, up to a limit in bytes. Never rejects. */
export default function readBody(incoming: IncomingMessage, limit: number): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit) {
        resolve({ kind: 'too-large' });
        incoming.pause();
      } else {
        chunks.push(chunk);
      }
    });
    incoming.once('end', () => resolve({ kind: 'whole', body: Buffer.concat(chunks) }));
    incoming.once('error', () => resolve({ kind: 'cut' }));
    incoming.once('close', () => resolve({ kind: 'cut' }));
  });
}
