import { isDeepStrictEqual } from 'node:util';
import type FieldDifference from './FieldDifference.js';

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Lists the fields in which two values differ. Objects are compared key by key, arrays as a whole. */
export default function diffFields(
  before: unknown,
  after: unknown,
  path: readonly string[] = [],
): readonly FieldDifference[] {
  if (isObject(before) && isObject(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...keys].flatMap((key) => diffFields(before[key], after[key], [...path, key]));
  }
  return isDeepStrictEqual(before, after) ? [] : [{ field: path.join('.'), before, after }];
}
