import { inflateSync } from 'node:zlib';
import { unpack } from 'msgpackr';
import { err, type Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { ServingError, parseWith } from '@dandelionlane/core';
import FRAME_FORMATS from './FRAME_FORMATS.js';
import MAXIMUM_FRAME_BYTES from './MAXIMUM_FRAME_BYTES.js';

/** Decodes a frame by a schema. Any bytes may arrive; others are an error of kind `message-invalid`. */
export default function decodeMessage<Message>(
  schema: ZodType<Message>,
  frame: Uint8Array,
): Result<Message, ServingError> {
  const body = frame.subarray(1);
  let data: unknown;
  try {
    switch (frame[0]) {
      case FRAME_FORMATS.messagePack:
        data = unpack(body);
        break;
      case FRAME_FORMATS.deflated:
        // eslint-disable-next-line n/no-sync -- takes about a ms, and messages must stay in order
        data = unpack(inflateSync(body, { maxOutputLength: MAXIMUM_FRAME_BYTES }));
        break;
      default:
        return err(new ServingError('frame has an unknown format', { kind: 'message-invalid' }));
    }
  } catch (cause) {
    return err(new ServingError('frame is not readable', { kind: 'message-invalid', cause }));
  }
  return parseWith(schema, data, 'message-invalid');
}
