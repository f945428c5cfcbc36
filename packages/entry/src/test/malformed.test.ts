import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { expect, test } from 'vitest';
import { EventSplitter, HEADERS } from '@dandelionlane/core';
import decodeEnvelope from '../lib/peers/decodeEnvelope.js';
import parseChatBody from '../lib/requests/parseChatBody.js';
import readCallerHeaders from '../lib/requests/readCallerHeaders.js';
import classifyChatEvent from '../lib/streams/classifyChatEvent.js';

const PARAMETERS = { seed: 20_261_204, numRuns: 2_000 };
const packr = new Packr({ useRecords: false });

test('arbitrary bytes as a peer frame decode or are refused', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    const decoded = decodeEnvelope(bytes);
    expect(decoded.isOk() || decoded.error.kind === 'message-invalid').toBe(true);
  }), PARAMETERS);
});

test('arbitrary messages as a peer frame decode or are refused', () => {
  const message = fc.record({
    kind: fc.constantFrom('membership', 'release-pull', 'release-state', 'x'),
    from: fc.oneof(fc.constant('entry-1'), fc.anything()),
    message: fc.anything(),
    after: fc.anything(),
    state: fc.anything(),
  }, { requiredKeys: ['kind'] });
  fc.assert(fc.property(message, (value) => {
    const decoded = decodeEnvelope(packr.pack(value));
    expect(decoded.isOk() || decoded.error.kind === 'message-invalid').toBe(true);
  }), PARAMETERS);
});

test('arbitrary caller headers parse or are refused', () => {
  const names = Object.values(HEADERS);
  const headers = fc.dictionary(
    fc.constantFrom(...names),
    fc.oneof(fc.string(), fc.constantFrom('desk', '-1', '1e999', '""'), fc.array(fc.string(), { maxLength: 3 })),
  );
  fc.assert(fc.property(headers, (value) => {
    const read = readCallerHeaders(value);
    expect(read.isOk() || ['unknown-team', 'malformed-request'].includes(read.error.kind)).toBe(true);
    expect(read.isErr() || read.value.timeoutMilliseconds > 0).toBe(true);
  }), PARAMETERS);
});

test('arbitrary chat bodies parse or are refused', () => {
  const body = fc.oneof(
    fc.uint8Array({ maxLength: 100 }).map((bytes) => Buffer.from(bytes)),
    fc.jsonValue().map((value) => Buffer.from(JSON.stringify(value))),
    fc.record({ model: fc.jsonValue(), messages: fc.jsonValue(), max_tokens: fc.jsonValue() })
      .map((value) => Buffer.from(JSON.stringify(value))),
  );
  fc.assert(fc.property(body, (bytes) => {
    const parsed = parseChatBody(bytes);
    expect(parsed.isOk() || parsed.error.kind === 'malformed-request').toBe(true);
  }), PARAMETERS);
});

test('events do not depend on how the stream is split into chunks', () => {
  const text = fc.array(fc.constantFrom('data: ', '\n', '\r\n', '\n\n', '"token_index":', '7', '[DONE]', 'é'))
    .map((parts) => Buffer.from(parts.join('')));
  fc.assert(fc.property(text, fc.array(fc.nat({ max: 40 }), { maxLength: 8 }), (bytes, sizes) => {
    const whole = new EventSplitter().push(bytes).map((event) => event.toString());
    const splitter = new EventSplitter();
    const pieces: string[] = [];
    let from = 0;
    [...sizes, bytes.length].forEach((size) => {
      pieces.push(...splitter.push(bytes.subarray(from, from + size)).map((event) => event.toString()));
      from = Math.min(bytes.length, from + size);
    });
    expect(pieces).toEqual(whole);
  }), PARAMETERS);
});

test('arbitrary bytes classify as a known kind of chat event', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    expect(['token', 'finish', 'done', 'other']).toContain(classifyChatEvent(Buffer.from(bytes)).kind);
  }), PARAMETERS);
});
