import { ManualClock } from '@dandelionlane/core';
import { expect, test, vi } from 'vitest';
import { createLog } from '../index.js';

test('text line has prefix and fields', () => {
  const write = vi.spyOn(console, 'info').mockImplementation(() => undefined);
  createLog('routing', { level: 'info', format: 'text' }, new ManualClock())
    .info('Target chosen.', { replica: 'a-1', reason: 'least loaded', absent: undefined });
  expect(write).toHaveBeenCalledWith(
    '1970-01-01T00:00:00.000Z info [routing] Target chosen. replica=a-1 reason="least loaded"',
  );
});

test('json line parses', () => {
  const write = vi.spyOn(console, 'warn').mockImplementation(() => undefined);
  createLog('placement', { level: 'info', format: 'json' }, new ManualClock()).warn('VM lost.', { vm: 'vm-1' });
  expect(JSON.parse(String(write.mock.calls[0]?.[0]))).toMatchObject({ part: 'placement', vm: 'vm-1' });
});
