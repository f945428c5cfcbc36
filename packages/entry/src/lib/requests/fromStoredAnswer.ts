import type { StoredAnswer } from '@dandelionlane/platform';
import type KeptAnswer from './KeptAnswer.js';

/** The answer to a later call with the same idempotency key. A body that was not kept is empty. */
export default function fromStoredAnswer({ status, contentType, bodyBase64 }: StoredAnswer): KeptAnswer {
  return {
    head: { status, headers: { 'content-type': contentType } },
    body: Buffer.from(bodyBase64 ?? '', 'base64'),
  };
}
