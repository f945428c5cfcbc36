import { err, ok, type Result } from 'neverthrow';
import type { ZodType } from 'zod';
import describeIssues from './describeIssues.js';
import type ErrorKind from './ErrorKind.js';
import ServingError from './ServingError.js';

/** Validates unknown data against a schema. A mismatch is an error of the given kind. */
export default function parseWith<Output>(
  schema: ZodType<Output>,
  data: unknown,
  kind: ErrorKind,
): Result<Output, ServingError> {
  const parsed = schema.safeParse(data);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err(new ServingError(describeIssues(parsed.error), { kind }));
}
