import {
  afterEach, expect, test, vi,
} from 'vitest';
import type { RequestKind } from '@dandelionlane/fleet';
import SilentTarget, { type SilenceKind } from './SilentTarget.js';
import TestGateway, { type CallerAnswer } from './TestGateway.js';

const STREAM = { kind: 'stream', resumable: true, targetGapMilliseconds: null } as const;
const SAFE = { kind: 'idempotent' } as const;
const UNSAFE = { kind: 'non-idempotent' } as const;
const KINDS: readonly SilenceKind[] = ['stopped', 'held'];

/** A sound target may be silent for about a second. */
const SILENCE_MILLISECONDS = 1_300;

const DEADLINE_MILLISECONDS = 30_000;

/** More than the buffers of a connection take. */
const LARGE_BODY_BYTES = 24 * 1_024 * 1_024;

let gateway: TestGateway | undefined;
let target: SilentTarget | undefined;

afterEach(() => {
  gateway?.stop();
  target?.stop();
});

/** Starts a gateway whose only target can fall silent, so that a request has no other target to move to. */
async function start(kind: RequestKind, silence: SilenceKind): Promise<[TestGateway, SilentTarget]> {
  target = await SilentTarget.start(silence);
  gateway = await TestGateway.start(kind, [() => undefined], 1);
  const known = gateway.workers.get('w0' as never);
  gateway.workers.put({ ...known?.worker as NonNullable<typeof known>['worker'], address: target.address });
  gateway.reconfigure((configuration) => ({
    ...configuration,
    routes: configuration.routes.map((route) => ({ ...route, timeoutMilliseconds: DEADLINE_MILLISECONDS })),
    limits: { ...configuration.limits, maximumBodyBytes: LARGE_BODY_BYTES },
  }));
  return [gateway, target];
}

function call(started: TestGateway, body: string): Promise<CallerAnswer> {
  return started.call({ 'x-deadline': String(DEADLINE_MILLISECONDS) }, body);
}

async function waitUntil(isSo: () => boolean): Promise<void> {
  await vi.waitUntil(isSo, { timeout: DEADLINE_MILLISECONDS, interval: 5 });
}

async function keepSilent(silent: SilentTarget): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, SILENCE_MILLISECONDS);
  });
  silent.goOn();
}

// Guards against options and timeouts of sockets that end a request while its target is silent.
test.each(KINDS)('a running stream outlasts the silence of a %s target', async (kind) => {
  const [started, silent] = await start(STREAM, kind);
  const answer = call(started, 'stream');
  await waitUntil(() => started.states.of('w0' as never).lastProgressAt > 0);
  silent.fallSilent();
  await keepSilent(silent);
  expect(await answer).toMatchObject({ status: 200, body: SilentTarget.stream, cut: false });
});

test.each(KINDS)('a running plain request outlasts the silence of a %s target', async (kind) => {
  const [started, silent] = await start(UNSAFE, kind);
  const answer = call(started, 'plain');
  await waitUntil(() => silent.requests === 1);
  silent.fallSilent();
  await keepSilent(silent);
  expect(await answer).toMatchObject({ status: 200, body: '5', cut: false });
  expect(silent.requests).toBe(1);
});

test.each(KINDS)('a request on a kept connection outlasts the silence of a %s target', async (kind) => {
  const [started, silent] = await start(SAFE, kind);
  expect(await call(started, 'plain')).toMatchObject({ status: 200 });
  silent.fallSilent();
  const answer = call(started, 'again');
  await waitUntil(() => started.states.of('w0' as never).outstanding === 1);
  await keepSilent(silent);
  expect(await answer).toMatchObject({ status: 200, body: '5', cut: false });
  expect(silent.connections).toBe(1);
});

test.each(KINDS)('a connection that idles outlasts the silence of a %s target', async (kind) => {
  const [started, silent] = await start(SAFE, kind);
  expect(await call(started, 'plain')).toMatchObject({ status: 200 });
  silent.fallSilent();
  await keepSilent(silent);
  expect(await call(started, 'again')).toMatchObject({ status: 200, body: '5', cut: false });
  expect(silent.connections).toBe(1);
});

test.each(KINDS)('a request on a new connection outlasts the silence of a %s target', async (kind) => {
  const [started, silent] = await start(UNSAFE, kind);
  silent.fallSilent();
  const answer = call(started, 'plain');
  await waitUntil(() => started.states.of('w0' as never).outstanding === 1);
  await keepSilent(silent);
  expect(await answer).toMatchObject({ status: 200, body: '5', cut: false });
  expect(silent.requests).toBe(1);
});

test.each(KINDS)('a body that is being written outlasts the silence of a %s target', async (kind) => {
  const [started, silent] = await start(UNSAFE, kind);
  silent.fallSilent();
  const answer = call(started, 'b'.repeat(LARGE_BODY_BYTES));
  await waitUntil(() => started.states.of('w0' as never).outstanding === 1);
  await keepSilent(silent);
  expect(await answer).toMatchObject({ status: 200, body: String(LARGE_BODY_BYTES), cut: false });
  expect(silent.requests).toBe(1);
});
