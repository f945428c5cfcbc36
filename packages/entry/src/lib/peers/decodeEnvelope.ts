import type { Result } from 'neverthrow';
import type { ServingError } from '@dandelionlane/core';
import { decodeMessage } from '@dandelionlane/links';
import PeerEnvelope from './PeerEnvelope.js';

/** Decodes a frame. Any bytes may arrive: what is not a frame is an error of kind `message-invalid`. */
export default function decodeEnvelope(frame: Uint8Array): Result<PeerEnvelope, ServingError> {
  return decodeMessage(PeerEnvelope, frame);
}
