import { err, type Result } from 'neverthrow';
import { parseWith, ServingError } from '@dandelionlane/core';
import ChatBody from './ChatBody.js';

/** Parses the body of a chat completion request. Error: `malformed-request`. */
export default function parseChatBody(body: Buffer): Result<ChatBody, ServingError> {
  let data: unknown;
  try {
    data = JSON.parse(body.toString('utf8'));
  } catch (cause) {
    return err(new ServingError('body is not JSON', { kind: 'malformed-request', cause }));
  }
  return parseWith(ChatBody, data, 'malformed-request');
}
