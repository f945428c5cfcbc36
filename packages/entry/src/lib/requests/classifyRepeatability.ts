import { err, ok, type Result } from 'neverthrow';
import { ServingError, type IdempotencyKey, type ServiceDefinition } from '@dandelionlane/core';
import type Repeatability from './Repeatability.js';

/** Methods that RFC 9110 defines as idempotent. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);

function isNonRepeatable(definition: ServiceDefinition, method: string, path: string): boolean {
  return definition.kind === 'plain' && definition.nonRepeatableCalls.some((call) => (
    call.method === method && path.startsWith(call.pathPrefix)
  ));
}

/**
 * Classifies how often a call may run, by its method and the service's definition in the release
 * note. Error: `idempotency-key-missing` for a call without a key that the note lists as
 * non-repeatable.
 */
export default function classifyRepeatability(
  definition: ServiceDefinition,
  method: string,
  path: string,
  key: IdempotencyKey | null,
): Result<Repeatability, ServingError> {
  if (definition.kind === 'model') {
    return ok('repeatable');
  }
  if (isNonRepeatable(definition, method, path)) {
    return key === null
      ? err(new ServingError(`${method} ${path} needs an Idempotency-Key`, { kind: 'idempotency-key-missing' }))
      : ok('claimed');
  }
  if (IDEMPOTENT_METHODS.has(method)) {
    return ok('repeatable');
  }
  return ok(key === null ? 'once' : 'claimed');
}
