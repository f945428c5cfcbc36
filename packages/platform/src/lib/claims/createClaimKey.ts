import { createHash } from 'node:crypto';
import type { IdempotencyKey, ServiceId, TeamId } from '@dandelionlane/core';

/** Creates the row key of a claim: a hash, since idempotency keys may be long. */
export default function createClaimKey(team: TeamId, service: ServiceId, key: IdempotencyKey): string {
  return createHash('sha256').update(JSON.stringify([team, service, key])).digest('base64url');
}
