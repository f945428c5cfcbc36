import type { Result } from 'neverthrow';
import type { ServingError } from '@dandelionlane/core';
import { decodeMessage } from '@dandelionlane/links';
import PeerEnvelope from './PeerEnvelope.js';

/** Decodes a frame. Error: `message-invalid` for bytes that are not a valid frame. */
export default function decodeEnvelope(frame: Uint8Array): Result<PeerEnvelope, ServingError> {
  return decodeMessage(PeerEnvelope, frame);
}
