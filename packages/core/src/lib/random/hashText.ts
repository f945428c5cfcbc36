const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/* eslint-disable no-bitwise -- the hash is defined on 32-bit words */
/** Stable 32-bit hash of a text (FNV-1a with a final avalanche). Not cryptographically secure. */
export default function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
