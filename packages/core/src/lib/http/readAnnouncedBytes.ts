import type { IncomingMessage } from 'node:http';

/** Length of the body that a request announces, in bytes; 0 where it announces none. */
export default function readAnnouncedBytes({ headers }: Pick<IncomingMessage, 'headers'>): number {
  const bytes = Number(headers['content-length'] ?? 0);
  return Number.isFinite(bytes) ? bytes : 0;
}
