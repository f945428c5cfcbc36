import { randomBytes } from 'node:crypto';
import Nonce from '../ids/Nonce.js';

const NONCE_BYTES = 12;

/** Creates a nonce that no other writer has. */
export default function createNonce(): Nonce {
  return Nonce.parse(randomBytes(NONCE_BYTES).toString('base64url'));
}
