import { createHash } from 'node:crypto';

/** Hash that tells whether two calls under one idempotency key are the same call. */
export default function createFingerprint(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url');
}
