import { inflateSync } from 'node:zlib';
import { err, type Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { ServingError } from '@dandelionlane/core';
import FRAME_FORMATS from './FRAME_FORMATS.js';
import MAXIMUM_FRAME_BYTES from './MAXIMUM_FRAME_BYTES.js';
import decodeMessage from './decodeMessage.js';

/** Decodes and validates a frame of a link. Invalid bytes are an error of kind `message-invalid`. */
export default function decodeFrame<Message>(
  schema: ZodType<Message>,
  frame: Uint8Array,
): Result<Message, ServingError> {
  const body = frame.subarray(1);
  switch (frame[0]) {
    case FRAME_FORMATS.messagePack:
      return decodeMessage(schema, body);
    case FRAME_FORMATS.deflated:
      try {
        // eslint-disable-next-line n/no-sync -- takes about a ms, and messages must stay in order
        return decodeMessage(schema, inflateSync(body, { maxOutputLength: MAXIMUM_FRAME_BYTES }));
      } catch (cause) {
        return err(new ServingError('frame is not deflated', { kind: 'message-invalid', cause }));
      }
    default:
      return err(new ServingError('frame has an unknown format', { kind: 'message-invalid' }));
  }
}
