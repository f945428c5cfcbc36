import { createHash } from 'node:crypto';

/** Hashes a request, to detect a different request that reuses an idempotency key. */
export default function createFingerprint(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url');
}
