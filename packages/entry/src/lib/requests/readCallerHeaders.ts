import type { IncomingHttpHeaders } from 'node:http';
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import {
  EntryId, HEADERS, IdempotencyKey, RequestId, ServingError, TeamId,
} from '@dandelionlane/core';
import type CallerHeaders from './CallerHeaders.js';

const MAXIMUM_TIMEOUT_MILLISECONDS = 3_600_000;

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(',') : value;
}

function malformedHeader(name: string): ServingError {
  return new ServingError(`header ${name} is malformed`, { kind: 'malformed-request' });
}

/** Removes the quotes of an Idempotency-Key that is sent as a structured field string. */
function unquote(value: string): string {
  return value.length >= 2 && value.startsWith('"') && value.endsWith('"') ? value.slice(1, -1) : value;
}

function readTimeout(value: string | undefined): number | null {
  if (value === undefined) {
    return MAXIMUM_TIMEOUT_MILLISECONDS;
  }
  const milliseconds = Number(value);
  const isValid = Number.isFinite(milliseconds) && milliseconds > 0;
  return isValid ? Math.min(milliseconds, MAXIMUM_TIMEOUT_MILLISECONDS) : null;
}

/** Parses the headers that an entry reads. Errors: `unknown-team`, `malformed-request`. */
export default function readCallerHeaders(headers: IncomingHttpHeaders): Result<CallerHeaders, ServingError> {
  const team = TeamId.safeParse(readHeader(headers, HEADERS.team));
  if (!team.success) {
    return err(new ServingError(`header ${HEADERS.team} must name the team`, { kind: 'unknown-team' }));
  }
  const requestId = RequestId.safeParse(readHeader(headers, HEADERS.requestId) ?? randomUUID());
  if (!requestId.success) {
    return err(malformedHeader(HEADERS.requestId));
  }
  const keyText = readHeader(headers, HEADERS.idempotencyKey);
  const key = keyText === undefined ? null : IdempotencyKey.safeParse(unquote(keyText));
  if (key !== null && !key.success) {
    return err(malformedHeader(HEADERS.idempotencyKey));
  }
  const forwardedText = readHeader(headers, HEADERS.forwardedBy);
  const forwardedBy = forwardedText === undefined ? null : EntryId.safeParse(forwardedText);
  if (forwardedBy !== null && !forwardedBy.success) {
    return err(malformedHeader(HEADERS.forwardedBy));
  }
  const timeoutMilliseconds = readTimeout(readHeader(headers, HEADERS.timeout));
  if (timeoutMilliseconds === null) {
    return err(malformedHeader(HEADERS.timeout));
  }
  return ok({
    team: team.data,
    requestId: requestId.data,
    idempotencyKey: key?.data ?? null,
    forwardedBy: forwardedBy?.data ?? null,
    timeoutMilliseconds,
  });
}
