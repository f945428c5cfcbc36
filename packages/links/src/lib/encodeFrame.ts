import { deflateSync } from 'node:zlib';
import type { Packr } from 'msgpackr';
import FRAME_FORMATS from './FRAME_FORMATS.js';
import MAXIMUM_FRAME_BYTES from './MAXIMUM_FRAME_BYTES.js';

/** Encodes a message as a frame of a link. Throws for one that receivers refuse because of its size. */
export default function encodeFrame(
  packr: Packr,
  message: object,
  format: keyof typeof FRAME_FORMATS = 'messagePack',
): Buffer {
  const packed = packr.pack(message);
  if (packed.length > MAXIMUM_FRAME_BYTES) {
    throw new RangeError(`message has ${packed.length} bytes, more than ${MAXIMUM_FRAME_BYTES}`);
  }
  // eslint-disable-next-line n/no-sync -- takes a few ms, and messages must stay in order
  const body = format === 'deflated' ? deflateSync(packed) : packed;
  return Buffer.concat([Buffer.of(FRAME_FORMATS[format]), body]);
}
