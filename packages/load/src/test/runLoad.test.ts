import { createServer, request as forward, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { mkdtemp, readdir, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ManualClock, SystemClock, VMId } from '@dandelionlane/core';
import { startVMs, type VMsHandle } from '@dandelionlane/standin';
import { afterEach, expect, test } from 'vitest';
import { request } from 'undici';
import {
  type LoadReport, LoadSettings, type PlannedCall, Recorder, renderHTML, renderText, runLoad, writeReports,
} from '../index.js';
import sendOnTime from '../lib/sendOnTime.js';

const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

async function startTargets(): Promise<VMsHandle> {
  const timing = { weightLoadMilliseconds: 1, coldDurationMilliseconds: 1, decodeMillisecondsPerToken: 1 };
  const place = { availabilityZone: 'a', fabricDomain: 'f', timing };
  const handle = (await startVMs({
    vms: [
      {
        ...place, vm: VMId.parse('vm-model'), accelerators: 8, kind: 'model',
      },
      {
        ...place, vm: VMId.parse('vm-plain'), accelerators: 0, kind: 'plain',
      },
    ],
  })).match((started) => started, (error) => {
    throw new Error(error.message);
  });
  closers.push(() => handle.close());
  await Promise.all(handle.vms.map(async (member, index) => {
    await request(`http://${member.address}/v1/orders`, {
      method: 'POST',
      body: JSON.stringify({
        kind: 'load', fencing: 1, replica: `r-${index}`, service: 's', model: index === 0 ? 'm' : null, adapter: null, version: '1', members: [member],
      }),
    });
    await expect.poll(async () => (await request(`http://${member.address}/v1/report`)).body.json(), { interval: 2 })
      .toMatchObject({ phase: 'warm' });
  }));
  return handle;
}

/** A naive entry: one target for each kind of path. `lies`: it answers "not run" after the run. */
async function startEntry(targets: VMsHandle, lies = false): Promise<string> {
  const server: Server = createServer((incoming, outgoing) => {
    const url = incoming.url ?? '';
    if (url.startsWith('/v1/entries')) {
      const { port } = server.address() as AddressInfo;
      const entries = [{ address: `127.0.0.1:${port}`, availabilityZone: 'a', keepSeconds: 60 }];
      outgoing.end(JSON.stringify({ service: 's', entries }));
      return;
    }
    const index = url.startsWith('/v1/chat') ? 0 : 1;
    const path = url.replace(/^\/v1\/services\/[^/]+/, '');
    const headers = { ...incoming.headers, 'dandelionlane-replica': `r-${index}` };
    const sent = forward(`http://${targets.vms[index]?.address}${path}`, { method: incoming.method, headers }, (answer) => {
      if (lies) {
        answer.resume();
        outgoing.writeHead(503).end(JSON.stringify({
          type: 't', title: 't', status: 503, detail: 'd', kind: 'overloaded', outcome: 'not-run',
        }));
      } else {
        outgoing.writeHead(answer.statusCode ?? 0, answer.headers);
        answer.pipe(outgoing);
      }
    });
    incoming.pipe(sent);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.push(() => new Promise((resolve) => {
    server.close(resolve);
    server.closeAllConnections();
  }));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function load(entry: string, journals: string[]): Promise<LoadReport> {
  const chat = {
    kind: 'chat', service: 's', maximumTokens: 6, streamShare: 0.5,
  };
  const settings = LoadSettings.parse({
    entries: ['127.0.0.1:1', entry],
    ratePerSecond: 100,
    durationSeconds: 0.5,
    settleMilliseconds: 50,
    journals,
    traffic: [
      { team: 'large', weight: 2, calls: chat },
      { team: 'small', calls: { kind: 'plain', service: 's' } },
      { team: 'small', calls: { kind: 'keyed', service: 's', repeatShare: 0 } },
    ],
  });
  return (await runLoad(settings, new SystemClock())).match((report) => report, (error) => {
    throw new Error(error.message);
  });
}

test('honest entry passes all checks', async () => {
  const targets = await startTargets();
  const report = await load(await startEntry(targets), [targets.controlAddress]);
  expect(report.checks.filter(({ passed }) => !passed)).toEqual([]);
  expect(report.passed).toBe(true);
  expect(report.checks).toHaveLength(6);
  expect(report.groups.map(({ team }) => team)).toEqual(['large', 'small']);
  expect(report.groups[0]?.firstToken?.count).toBeGreaterThan(0);
  expect(report.groups.reduce((total, { outcomes }) => total + outcomes.answered, 0)).toBe(report.calls);
});

test('lying entry fails the check', async () => {
  const targets = await startTargets();
  const report = await load(await startEntry(targets, true), [targets.controlAddress]);
  expect(report.checks.find(({ name }) => name === 'not-run-is-true')).toMatchObject({ passed: false });
  expect(report.passed).toBe(false);
});

test('no entry at all is unreachable', async () => {
  const report = await load('127.0.0.1:1', []);
  const labels = report.groups.flatMap(({ outcomes }) => Object.entries(outcomes))
    .flatMap(([label, count]) => (count > 0 ? [label] : []));
  expect(new Set(labels)).toEqual(new Set(['unreachable']));
  expect(report.checks).toMatchObject([{ name: 'calls-answered', passed: false }, { passed: true }]);
});

test('reports stand alone', async () => {
  const targets = await startTargets();
  const report = await load(await startEntry(targets), [targets.controlAddress]);
  const page = renderHTML(report);
  expect(page.match(/<svg /g)).toHaveLength(4);
  expect(page).not.toMatch(/https?:|<script|<link/);
  expect(renderText(report)).toContain('pass keys-at-most-once');
  const directory = await mkdtemp(join(tmpdir(), 'load-'));
  closers.push(() => rm(directory, { recursive: true }));
  await writeReports(report, directory);
  expect((await readdir(directory)).sort()).toEqual(['report.html', 'report.json', 'report.txt']);
});

test('arrivals do not wait for answers', async () => {
  const clock = new ManualClock();
  const calls = [0, 0, 0].map((offsetMilliseconds, number) => ({ offsetMilliseconds, number }));
  const recorder = new Recorder();
  const release: (() => void)[] = [];
  const all = sendOnTime(calls as unknown as PlannedCall[], {
    clock,
    recorder,
    send: () => new Promise((resolve) => {
      release.push(() => resolve({ outcome: { kind: 'timeout' }, tokenTimes: [] }));
    }),
  });
  await expect.poll(() => release.length, { interval: 1 }).toBe(3);
  clock.advance(250);
  release.forEach((end) => end());
  await all;
  const times = recorder.records.map(({ endedAt, intendedStart }) => endedAt - intendedStart);
  expect(times).toEqual([250, 250, 250]);
});
