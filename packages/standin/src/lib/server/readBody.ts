import { parseWith, ServingError } from '@dandelionlane/core';
import type { Context } from 'hono';
import { ResultAsync } from 'neverthrow';
import type { ZodType } from 'zod';

/** Reads a JSON body and checks it. Error: `malformed-request`. */
export default function readBody<Output>(
  context: Context,
  schema: ZodType<Output>,
): ResultAsync<Output, ServingError> {
  return ResultAsync.fromPromise(
    context.req.json<unknown>(),
    (cause) => new ServingError('body is not JSON', { kind: 'malformed-request', cause }),
  ).andThen((body) => parseWith(schema, body, 'malformed-request'));
}
