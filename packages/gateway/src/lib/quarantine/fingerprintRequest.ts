import { createHash } from 'node:crypto';
import { PromptPartId } from '@dandelionlane/core';
import type Call from '../requests/Call.js';
import WHOLE_REQUEST_PREFIX from './WHOLE_REQUEST_PREFIX.js';

/** Hexadecimal digits that are kept of the hash. */
const DIGITS = 24;

/**
 * Names a request by what is the same when it comes again, under another attempt id and at any entry: its
 * method, path, caller and body. The name stands beside those of the parts of its prompt.
 */
export default function fingerprintRequest({
  method, path, headers, team, metadata, body,
}: Pick<Call, 'method' | 'path' | 'headers' | 'team' | 'metadata' | 'body'>): PromptPartId {
  const hash = createHash('sha256')
    .update(JSON.stringify([method, headers.host, path, team?.id, metadata.model]))
    .update(body)
    .digest('hex');
  return PromptPartId.parse(`${WHOLE_REQUEST_PREFIX}${hash.slice(0, DIGITS)}`);
}
