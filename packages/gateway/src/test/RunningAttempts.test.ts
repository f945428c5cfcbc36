import { expect, test } from 'vitest';
import RunningAttempts from '../lib/relay/RunningAttempts.js';

/** A promise with the function that resolves it. */
function createEnd(): { readonly end: Promise<string>; readonly resolve: (value: string) => void } {
  let resolve: (value: string) => void = () => undefined;
  const end = new Promise<string>((settle) => {
    resolve = settle;
  });
  return { end, resolve };
}

test('attempts end one at a time', async () => {
  const running = new RunningAttempts<string, string>();
  running.add('first', Promise.resolve('broken'));
  running.add('second', Promise.resolve('complete'));
  expect(await running.nextEnd()).toEqual({ attempt: 'first', end: 'broken' });
  expect(running.all).toEqual(['second']);
  expect(await running.nextEnd()).toEqual({ attempt: 'second', end: 'complete' });
  expect(running.size).toBe(0);
});

// Guards against a wait that does not see the end of an attempt that started during it.
test('an attempt that starts during a wait may end it', async () => {
  const running = new RunningAttempts<string, string>();
  const first = createEnd();
  running.add('first', first.end);
  const next = running.nextEnd();
  running.add('second', Promise.resolve('complete'));
  expect(await next).toEqual({ attempt: 'second', end: 'complete' });
  first.resolve('broken');
  expect(await running.nextEnd()).toEqual({ attempt: 'first', end: 'broken' });
});
