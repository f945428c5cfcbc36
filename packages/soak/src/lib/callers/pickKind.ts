import type { RandomSource } from '@dandelionlane/core';
import type RequestKind from '../journal/RequestKind.js';

const KINDS: readonly RequestKind[] = ['safe', 'once', 'stream', 'stream'];

export default function pickKind(random: RandomSource): RequestKind {
  return KINDS[Math.floor(random.next() * KINDS.length)] ?? 'safe';
}
