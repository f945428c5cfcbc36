import type { StoredAnswer } from '@dandelionlane/platform';
import type AnswerHead from './AnswerHead.js';

const MAXIMUM_STORED_BYTES = 64 * 1_024;

/** Converts an answer to the form stored with its claim. A body over 64 KiB is not stored. */
export default function toStoredAnswer({ status, headers }: AnswerHead, body: Buffer): StoredAnswer {
  return {
    status,
    contentType: String(headers['content-type'] ?? 'application/octet-stream'),
    bodyBase64: body.length > MAXIMUM_STORED_BYTES ? null : body.toString('base64'),
  };
}
