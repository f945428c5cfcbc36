import type ChatEvent from './ChatEvent.js';

const DONE = Buffer.from('data: [DONE]');
const FINISH = Buffer.from('"finish_reason":"');
const TOKEN_INDEX = Buffer.from('"token_index":');
const CONTENT = Buffer.from('"content":');
const ZERO = 0x30;
const NINE = 0x39;
const RADIX = 10;

function readIndex(event: Buffer, from: number): number | null {
  let index = 0;
  let position = from;
  let digit = event[position];
  while (digit !== undefined && digit >= ZERO && digit <= NINE) {
    index = index * RADIX + digit - ZERO;
    position += 1;
    digit = event[position];
  }
  return position === from ? null : index;
}

/** Tells what an event of a chat stream is without parsing it whole: this runs for every token. */
export default function classifyChatEvent(event: Buffer): ChatEvent {
  if (event.indexOf(DONE) === 0) {
    return { kind: 'done' };
  }
  if (event.includes(FINISH)) {
    return { kind: 'finish' };
  }
  const marker = event.indexOf(TOKEN_INDEX);
  if (marker !== -1) {
    return { kind: 'token', index: readIndex(event, marker + TOKEN_INDEX.length) };
  }
  return event.includes(CONTENT) ? { kind: 'token', index: null } : { kind: 'other' };
}
