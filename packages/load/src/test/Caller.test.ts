import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  ManualClock, RequestId, ServiceId, TeamId,
} from '@dandelionlane/core';
import { afterEach, expect, test } from 'vitest';
import { Agent } from 'undici';
import Caller from '../lib/callers/Caller.js';

const KEEP_SECONDS = 5;
const dispatcher = new Agent();
const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

interface FakeEntry {
  address: string;
  lookups: number;
  /** Addresses that a lookup names; its own when empty. */
  names: string[];
}

/** An entry that answers lookups and echoes the note of plain calls. */
async function startEntry(): Promise<FakeEntry> {
  const entry: FakeEntry = { address: '', lookups: 0, names: [] };
  const server = createServer((incoming, outgoing) => {
    const url = new URL(incoming.url ?? '', 'http://entry');
    if (url.pathname === '/v1/entries') {
      entry.lookups += 1;
      const names = entry.names.length === 0 ? [entry.address] : entry.names;
      const entries = names.map((address) => ({ address, availabilityZone: 'a', keepSeconds: KEEP_SECONDS }));
      outgoing.end(JSON.stringify({ service: 's', entries }));
    } else {
      outgoing.end(JSON.stringify({ query: Object.fromEntries(url.searchParams) }));
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.push(() => new Promise((resolve) => {
    server.close(resolve);
    server.closeAllConnections();
  }));
  entry.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return entry;
}

function createCaller(clock: ManualClock, ...entries: string[]): () => Promise<string> {
  const caller = new Caller(entries, { clock, dispatcher, timeoutMilliseconds: 5_000 });
  return async () => (await caller.send({
    requestId: RequestId.parse('q'),
    team: TeamId.parse('t'),
    service: ServiceId.parse('s'),
    offsetMilliseconds: 0,
    content: { kind: 'plain', note: 'n', delayMilliseconds: 0 },
  })).outcome.kind;
}

test('lookup is kept for as long as it says', async () => {
  const entry = await startEntry();
  const clock = new ManualClock();
  const send = createCaller(clock, entry.address);
  await send();
  clock.advance(KEEP_SECONDS * 1_000 - 1);
  expect(await send()).toBe('answered');
  expect(entry.lookups).toBe(1);
  clock.advance(1);
  await send();
  expect(entry.lookups).toBe(2);
});

test('address without a listener is passed over', async () => {
  const entry = await startEntry();
  entry.names = ['127.0.0.1:1', entry.address];
  const send = createCaller(new ManualClock(), entry.address);
  expect(await send()).toBe('answered');
  await send();
  expect(entry.lookups).toBe(2);
});

test('next entry is asked when one is down', async () => {
  const entry = await startEntry();
  const send = createCaller(new ManualClock(), '127.0.0.1:1', entry.address);
  expect(await send()).toBe('answered');
});
