import { expect, test } from 'vitest';
import { z } from 'zod';
import {
  ERROR_ANSWERS, ErrorKind, Problem, ServingError, parseWith, toProblem,
} from '../index.js';

test('every kind has an answer', () => {
  expect(Object.keys(ERROR_ANSWERS).sort()).toEqual([...ErrorKind.options].sort());
});

test('problem carries kind and outcome', () => {
  const problem = toProblem(new ServingError('queue is full', { kind: 'overloaded', retryAfterSeconds: 3 }));
  expect(Problem.parse(problem)).toMatchObject({
    status: 429, kind: 'overloaded', outcome: 'not-run', retryAfterSeconds: 3, detail: 'queue is full',
  });
});

test('kinds after the first byte have an unknown outcome', () => {
  const afterFirstByte = ['target-lost', 'target-timeout', 'replica-not-whole', 'answer-too-large'] as const;
  expect(afterFirstByte.map((kind) => ERROR_ANSWERS[kind].outcome)).toEqual(afterFirstByte.map(() => 'unknown'));
});

// Guards against lines of megabytes in the log: a row may have thousands of values of the wrong type.
test('a description lists a limited number of issues', () => {
  const data = Array.from({ length: 30_000 }, () => 1);
  const { message } = parseWith(z.array(z.string()), data, 'message-invalid')._unsafeUnwrapErr();
  expect(message.length).toBeLessThan(2_000);
  expect(message).toMatch(/; 29980 more$/);
});
