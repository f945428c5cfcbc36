import type ChatEvent from './ChatEvent.js';

const DATA = Buffer.from('data:');
const DONE = Buffer.from('[DONE]');
const FINISH_REASON = Buffer.from('"finish_reason":');
const TOKEN_INDEX = Buffer.from('"token_index":');
const CONTENT = Buffer.from('"content":');
const SPACE = 0x20;
const QUOTE = 0x22;
const ZERO = 0x30;
const NINE = 0x39;
const RADIX = 10;

function skipSpaces(event: Buffer, from: number): number {
  let position = from;
  while (event[position] === SPACE) {
    position += 1;
  }
  return position;
}

/** Position of the value of a JSON key, or -1. */
function findValue(event: Buffer, name: Buffer): number {
  const at = event.indexOf(name);
  return at === -1 ? -1 : skipSpaces(event, at + name.length);
}

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

function isDone(event: Buffer): boolean {
  return event.indexOf(DATA) === 0 && event.indexOf(DONE) === skipSpaces(event, DATA.length);
}

/** Whether the value at a position is a non-empty string. */
function isText(event: Buffer, at: number): boolean {
  return at !== -1 && event[at] === QUOTE && event[at + 1] !== QUOTE;
}

/** Classifies a chat stream event by byte search instead of a full JSON parse: it runs for every token. */
export default function classifyChatEvent(event: Buffer): ChatEvent {
  if (isDone(event)) {
    return { kind: 'done' };
  }
  if (isText(event, findValue(event, FINISH_REASON))) {
    return { kind: 'finish' };
  }
  const index = findValue(event, TOKEN_INDEX);
  if (index !== -1) {
    return { kind: 'token', index: readIndex(event, index) };
  }
  return isText(event, findValue(event, CONTENT)) ? { kind: 'token', index: null } : { kind: 'other' };
}
