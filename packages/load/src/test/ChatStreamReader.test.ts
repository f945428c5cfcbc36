import { ManualClock } from '@dandelionlane/core';
import { expect, test } from 'vitest';
import ChatStreamReader from '../lib/callers/ChatStreamReader.js';

const token = (content: string) => `data: ${JSON.stringify({ choices: [{ delta: { content }, finish_reason: null }] })}\n\n`;
const stop = 'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n';
const done = 'data: [DONE]\n\n';

function read(...parts: string[]) {
  const reader = new ChatStreamReader('ba dé fi', new ManualClock());
  parts.forEach((part) => reader.push(new TextEncoder().encode(part)));
  return reader.outcome();
}

test('whole answer', () => {
  expect(read(token('ba'), token(' dé'), token(' fi'), stop, done)).toEqual({ kind: 'answered' });
});

test('bytes split anywhere', () => {
  const bytes = new TextEncoder().encode(token('ba') + token(' dé') + token(' fi') + stop + done);
  const reader = new ChatStreamReader('ba dé fi', new ManualClock());
  bytes.forEach((byte) => reader.push(Uint8Array.of(byte)));
  expect(reader.outcome()).toEqual({ kind: 'answered' });
  expect(reader.tokenTimes).toHaveLength(3);
});

test('gap', () => {
  expect(read(token('ba'), token(' fi'), stop, done)).toEqual({ kind: 'wrong', detail: 'token 1 is fi, not dé' });
});

test('repeat', () => {
  expect(read(token('ba'), token(' ba'), token(' dé'), token(' fi'), stop, done)).toMatchObject({ kind: 'wrong' });
});

test('too short but ended', () => {
  expect(read(token('ba'), stop, done)).toEqual({ kind: 'wrong', detail: '1 of 3 tokens' });
});

test('cut off', () => {
  expect(read(token('ba'), token(' dé'))).toMatchObject({ kind: 'broken' });
  expect(read(token('ba'), token(' dé'), token(' fi'))).toMatchObject({ kind: 'broken' });
});

test('cut off after a wrong token', () => {
  expect(read(token('corrupted'))).toMatchObject({ kind: 'wrong' });
});

test('problem in the stream', () => {
  const problem = {
    type: 't', title: 't', status: 502, detail: 'd', kind: 'replica-not-whole', outcome: 'unknown',
  };
  expect(read(token('ba'), `data: ${JSON.stringify({ error: problem })}\n\n`)).toEqual({ kind: 'refused', problem });
});

test('events after the end', () => {
  expect(read(token('ba'), token(' dé'), token(' fi'), stop, done, done)).toMatchObject({ kind: 'wrong' });
});
