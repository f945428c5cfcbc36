import { unpack } from 'msgpackr';
import { err, type Result } from 'neverthrow';
import { parseWith, ServingError } from '@dandelionlane/core';
import PeerEnvelope from './PeerEnvelope.js';

/** Decodes a frame. Any bytes may arrive: what is not a frame is an error of kind `message-invalid`. */
export default function decodeEnvelope(frame: Uint8Array): Result<PeerEnvelope, ServingError> {
  let data: unknown;
  try {
    data = unpack(frame);
  } catch (cause) {
    return err(new ServingError('frame is not MessagePack', { kind: 'message-invalid', cause }));
  }
  return parseWith(PeerEnvelope, data, 'message-invalid');
}
