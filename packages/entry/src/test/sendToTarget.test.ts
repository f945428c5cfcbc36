import { createServer, type AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { expect, test } from 'vitest';
import {
  HEADERS, ManualClock, Replica, RequestId,
} from '@dandelionlane/core';
import sendToTarget from '../lib/dispatch/sendToTarget.js';
import type CallerRequest from '../lib/requests/CallerRequest.js';
import ReplicaTarget from '../lib/targets/ReplicaTarget.js';

/** Starts a server that answers every request with the request id `first`. */
async function answerAsFirst(): Promise<{ readonly address: string; readonly close: () => void }> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(
      `HTTP/1.1 200 OK\r\n${HEADERS.requestId}: first\r\ncontent-length: 2\r\n\r\nhi`,
    ));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => server.close() };
}

test.each([['first', true], ['second', false]] as const)('request %s receives an answer with request id first', async (id, isAccepted) => {
  const server = await answerAsFirst();
  const dispatcher = new Agent();
  const replica = Replica.parse({
    replica: 'slots-1',
    service: 'slots',
    version: '1',
    state: 'serving',
    fencing: 1,
    members: [{
      vm: 'plain-1', address: server.address, availabilityZone: 'zone-a', fabricDomain: 'fabric',
    }],
    grants: [],
  });
  const replicaTarget = new ReplicaTarget(
    {
      clock: new ManualClock(),
      freshnessMilliseconds: 1_000,
      isOut: () => false,
      observationsOf: () => [],
      oldestPollAtOf: () => 0,
    },
    replica,
    { grant: { entry: 'entry-1' as never, cold: 1, warm: 1 }, version: 1 as never, readAtMilliseconds: 0 },
  );
  const request: Pick<CallerRequest, 'requestId' | 'headers' | 'method' | 'path'> = {
    requestId: RequestId.parse(id), headers: {}, method: 'GET', path: '/',
  };
  const sent = await sendToTarget({
    dispatcher,
    request: request as CallerRequest,
    target: replicaTarget,
    body: Buffer.alloc(0),
    remainingMilliseconds: 5_000,
    signal: new AbortController().signal,
  });
  expect(sent.isOk()).toBe(isAccepted);
  expect(sent.isErr() ? sent.error.cause : 'accepted').toBe(isAccepted ? 'accepted' : 'target-lost');
  await dispatcher.destroy();
  server.close();
});
