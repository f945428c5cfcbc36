import { deflateSync } from 'node:zlib';
import type { Packr } from 'msgpackr';
import FRAME_FORMATS from './FRAME_FORMATS.js';

/** Encodes a message as a frame of a link. */
export default function encodeFrame(
  packr: Packr,
  message: object,
  format: keyof typeof FRAME_FORMATS = 'messagePack',
): Buffer {
  const packed = packr.pack(message);
  // eslint-disable-next-line n/no-sync -- takes a few ms, and messages must stay in order
  const body = format === 'deflated' ? deflateSync(packed) : packed;
  return Buffer.concat([Buffer.of(FRAME_FORMATS[format]), body]);
}
