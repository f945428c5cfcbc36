import { OutOfService, parseWith, ServingError } from '@dandelionlane/core';
import { err, type Result } from 'neverthrow';

/** Parses `zone NAME` or `vm NAME`. */
export default function parseSubject(kind: string, name: string): Result<OutOfService, ServingError> {
  switch (kind) {
    case 'zone':
      return parseWith(OutOfService, { kind: 'availability-zone', availabilityZone: name }, 'malformed-request');
    case 'vm':
      return parseWith(OutOfService, { kind: 'vm', vm: name }, 'malformed-request');
    default:
      return err(new ServingError(`expected zone or vm, not ${kind}`, { kind: 'malformed-request' }));
  }
}
