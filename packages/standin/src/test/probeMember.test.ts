import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { expect, test } from 'vitest';
import probeMember from '../lib/engine/probeMember.js';

const TIMEOUT_MILLISECONDS = 100;
const REPORT = {
  vm: 'model-1',
  incarnation: 1,
  sequence: 1,
  phase: 'warm',
  replica: null,
  service: null,
  version: null,
  fencing: 0,
  leaving: false,
  runningRequests: 0,
  waitingRequests: 0,
  outstandingTokens: 0,
  weightsLoaded: true,
  fabricDomain: 'fabric-1',
};

async function withMember(
  answer: Parameters<typeof createServer>[1],
  probe: (address: string, agent: Agent) => Promise<void>,
): Promise<void> {
  const agent = new Agent();
  const server = createServer(answer);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  await probe(`127.0.0.1:${(server.address() as AddressInfo).port}`, agent);
  await agent.destroy();
  server.closeAllConnections();
  server.close();
}

function block(milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, milliseconds);
}

test('a member is not lost because its process was busy', () => withMember((_incoming, outgoing) => {
  outgoing.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(REPORT));
}, async (address, agent) => {
  const probed = probeMember(address, TIMEOUT_MILLISECONDS, agent);
  block(2 * TIMEOUT_MILLISECONDS);
  expect((await probed)?.vm).toBe('model-1');
}));

test('a member that never answers is lost', () => withMember(() => undefined, async (address, agent) => {
  expect(await probeMember(address, TIMEOUT_MILLISECONDS, agent)).toBeUndefined();
}));
