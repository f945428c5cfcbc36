import { EventEmitter } from 'node:events';
import { expect, test, vi } from 'vitest';
import { onShutdownSignal, repeatWork } from '../index.js';

test('a second signal is ignored', () => {
  const source = new EventEmitter();
  const stop = vi.fn(() => Promise.resolve());
  onShutdownSignal(source, stop);
  source.emit('SIGTERM');
  source.emit('SIGTERM');
  source.emit('SIGINT');
  expect(stop).toHaveBeenCalledTimes(1);
  expect(source.listenerCount('SIGTERM')).toBe(1);
});

test('work that rejects is repeated', async () => {
  const work = vi.fn(() => Promise.reject(new Error('once more')));
  const onFailure = vi.fn();
  const stop = repeatWork(work, 1, onFailure);
  await vi.waitFor(() => expect(work.mock.calls.length).toBeGreaterThan(2));
  await stop();
  const calls = work.mock.calls.length;
  expect(onFailure).toHaveBeenCalledTimes(calls);
  expect(onFailure).toHaveBeenLastCalledWith(new Error('once more'));
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  expect(work).toHaveBeenCalledTimes(calls);
});
