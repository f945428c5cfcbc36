import { expect, test } from 'vitest';
import type EntryRegistry from '../lib/entries/EntryRegistry.js';
import createDirectoryApplication from '../lib/entries/createDirectoryApplication.js';

/** Most seconds for which a caller may keep an answer, of the sites' `ttl_max_s`. */
const LONGEST_KEPT_SECONDS = 5;

async function ask(addresses: readonly string[]): Promise<{ status: number; body: unknown }> {
  const registry = { readyAddresses: () => addresses } as unknown as EntryRegistry;
  const application = createDirectoryApplication(registry, {
    path: '/resolve', encode: (named, keepSeconds) => ({ named, keepSeconds }),
  });
  const answer = await application.request('/resolve');
  return { status: answer.status, body: await answer.json() };
}

test('ready entries are named for a while', async () => {
  const { status, body } = await ask(['one:1', 'two:1']);
  expect(status).toBe(200);
  expect(body).toMatchObject({ named: ['one:1', 'two:1'] });
  expect((body as { keepSeconds: number }).keepSeconds).toBeGreaterThan(0);
  expect((body as { keepSeconds: number }).keepSeconds).toBeLessThanOrEqual(LONGEST_KEPT_SECONDS);
});

test('no ready entry is no answer', async () => {
  expect((await ask([])).status).toBe(503);
});

test('at most 64 entries are named', async () => {
  const { body } = await ask(Array.from({ length: 70 }, (_, index) => `entry-${index}:1`));
  expect((body as { named: readonly string[] }).named).toHaveLength(64);
});
