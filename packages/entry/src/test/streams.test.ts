import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { expect, test } from 'vitest';
import classifyChatEvent from '../lib/streams/classifyChatEvent.js';
import waitForDrain from '../lib/streams/waitForDrain.js';

function classify(text: string): string {
  return classifyChatEvent(Buffer.from(text)).kind;
}

test('events are classified with and without spaces', () => {
  expect(classify('data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}\n\n')).toBe('token');
  expect(classify('data: {"choices": [{"delta": {"content": "a"}, "finish_reason": null}]}\n\n')).toBe('token');
  expect(classify('data: {"choices": [{"delta": {}, "finish_reason": "stop"}]}\n\n')).toBe('finish');
  expect(classify('data:[DONE]\n\n')).toBe('done');
  expect(classify('data: [DONE]\r\n\r\n')).toBe('done');
});

test('an event without text is not a token', () => {
  expect(classify('data: {"choices":[{"delta":{"role":"assistant","content":""}}]}\n\n')).toBe('other');
  expect(classify('data: {"choices":[{"delta":{"role":"assistant"}}]}\n\n')).toBe('other');
});

test('token index is read after a space', () => {
  expect(classifyChatEvent(Buffer.from('data: {"token_index": 17, "choices": []}\n\n')))
    .toEqual({ kind: 'token', index: 17 });
});

test('waitForDrain removes its listeners', async () => {
  const outgoing = Object.assign(new EventEmitter(), { destroyed: false, writableNeedDrain: true });
  const ownListener = () => undefined;
  outgoing.on('drain', ownListener);
  const drained = waitForDrain(outgoing as unknown as ServerResponse, 1_000);
  outgoing.emit('drain');
  expect(await drained).toBe(true);
  expect(outgoing.listenerCount('close')).toBe(0);
  expect(outgoing.listeners('drain')).toEqual([ownListener]);
});
