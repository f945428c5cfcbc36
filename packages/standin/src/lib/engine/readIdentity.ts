import { HEADERS } from '@dandelionlane/core';
import type { Context } from 'hono';
import type RequestIdentity from './RequestIdentity.js';

/** Reads what a request says about itself from its headers. */
export default function readIdentity(context: Context): RequestIdentity {
  const header = (name: string) => context.req.header(name) ?? null;
  return {
    requestId: header(HEADERS.requestId),
    idempotencyKey: header(HEADERS.idempotencyKey),
    team: header(HEADERS.team),
    method: context.req.method,
    path: context.req.path,
    replica: header(HEADERS.replica),
  };
}
