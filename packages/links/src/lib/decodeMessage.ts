import { unpack } from 'msgpackr';
import { err, type Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { ServingError, parseWith } from '@dandelionlane/core';

/** Decodes and validates a MessagePack body. Invalid bytes are an error of kind `message-invalid`. */
export default function decodeMessage<Message>(
  schema: ZodType<Message>,
  frame: Uint8Array,
): Result<Message, ServingError> {
  let data: unknown;
  try {
    data = unpack(frame);
  } catch (cause) {
    return err(new ServingError('frame is not MessagePack', { kind: 'message-invalid', cause }));
  }
  return parseWith(schema, data, 'message-invalid');
}
