import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  EntryId, RegionId, Replica, ReplicaMember, RowVersion, SystemClock, type TableStore,
} from '@dandelionlane/core';
import { createLog } from '@dandelionlane/telemetry';
import { Agent } from 'undici';
import { expect, test } from 'vitest';
import AnswerChecker from '../lib/dispatch/AnswerChecker.js';
import ReplicaTarget from '../lib/targets/ReplicaTarget.js';
import TargetTable from '../lib/targets/TargetTable.js';

const FRESHNESS_MILLISECONDS = 2_000;
const DELAY_MILLISECONDS = 150;

type Answer = (outgoing: ServerResponse, report: string, question: number) => void;

/** A VM that answers each question for its report as told. */
async function startMember(vm: string, answer: Answer) {
  let question = 0;
  const server = createServer((_incoming: IncomingMessage, outgoing) => {
    question += 1;
    answer(outgoing, JSON.stringify({
      vm,
      incarnation: 1,
      sequence: question,
      phase: 'warm',
      replica: 'r',
      service: 's',
      version: '1',
      fencing: 1,
      leaving: false,
      runningRequests: 0,
      waitingRequests: 0,
      outstandingTokens: 0,
    }), question);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const member = ReplicaMember.parse({
    vm,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    availabilityZone: 'zone-a',
    fabricDomain: 'fabric-1',
  });
  return { member, server };
}

function reply(outgoing: ServerResponse, report: string): void {
  outgoing.writeHead(200, { 'content-type': 'application/json' }).end(report);
}

test('a report asked for before the check and late does not count', async () => {
  // Its first report is made at once and comes late; it does not answer again, as after its end.
  const lost = await startMember('model-1', (outgoing, report, question) => {
    if (question === 1) {
      setTimeout(() => reply(outgoing, report), 2 * DELAY_MILLISECONDS);
    } else {
      outgoing.destroy();
    }
  });
  // Holds the check's round up for a while.
  const slow = await startMember('model-2', (outgoing, report, question) => {
    setTimeout(() => reply(outgoing, report), question === 1 ? DELAY_MILLISECONDS : 0);
  });
  const members = [lost.member, slow.member];
  const clock = new SystemClock();
  const agent = new Agent();
  const table = new TargetTable({
    entry: EntryId.parse('entry-1'),
    region: RegionId.parse('region-1'),
    store: {} as TableStore,
    dispatcher: agent,
    clock,
    freshnessMilliseconds: FRESHNESS_MILLISECONDS,
    isOut: () => false,
    log: createLog('test', { level: 'silent', format: 'text' }, clock),
    onCapacityChange: () => undefined,
  });
  const replica = Replica.parse({
    replica: 'r', service: 's', version: '1', state: 'serving', fencing: 1, members, grants: [],
  });
  const slot = new ReplicaTarget({
    clock,
    freshnessMilliseconds: FRESHNESS_MILLISECONDS,
    isOut: () => false,
    observationsOf: (each) => table.observationsOf(each),
    oldestPollAtOf: () => 0,
  }, replica, {
    grant: { entry: EntryId.parse('entry-1'), cold: 1, warm: 1 },
    version: RowVersion.parse(1),
    readAtMilliseconds: clock.monotonicMilliseconds(),
  });
  const checker = new AnswerChecker(table, clock, FRESHNESS_MILLISECONDS);

  const held = table.poll(slow.member);
  await new Promise(setImmediate);
  const checked = checker.check(slot, members.map(({ vm }) => ({ vm, incarnation: 1 as never })));
  await new Promise(setImmediate);
  void table.poll(lost.member);
  await held;
  expect(await checked).toMatchObject({ kind: 'invalid', reason: 'member-unseen' });

  await agent.destroy();
  [lost, slow].forEach(({ server }) => {
    server.closeAllConnections();
    server.close();
  });
});
