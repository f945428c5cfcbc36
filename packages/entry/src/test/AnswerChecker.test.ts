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
const REPORT_DELAY_MILLISECONDS = 150;

type Answer = (outgoing: ServerResponse, report: string, pollNumber: number) => void;

/** Starts a VM that answers each poll for its report with `answer`. */
async function startMember(vm: string, answer: Answer) {
  let pollNumber = 0;
  const server = createServer((_incoming: IncomingMessage, outgoing) => {
    pollNumber += 1;
    answer(outgoing, JSON.stringify({
      vm,
      incarnation: 1,
      sequence: pollNumber,
      phase: 'warm',
      replica: 'r',
      service: 's',
      version: '1',
      fencing: 1,
      leaving: false,
      runningRequests: 0,
      waitingRequests: 0,
      outstandingTokens: 0,
    }), pollNumber);
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

test('a late report of a poll sent before the check is ignored', async () => {
  // Its first report is made at once and arrives late. Later polls fail, as if the VM had crashed.
  const lostVM = await startMember('model-1', (outgoing, report, pollNumber) => {
    if (pollNumber === 1) {
      setTimeout(() => reply(outgoing, report), 2 * REPORT_DELAY_MILLISECONDS);
    } else {
      outgoing.destroy();
    }
  });
  // Its first report is slow, which delays the round of the check.
  const slowVM = await startMember('model-2', (outgoing, report, pollNumber) => {
    setTimeout(() => reply(outgoing, report), pollNumber === 1 ? REPORT_DELAY_MILLISECONDS : 0);
  });
  const members = [lostVM.member, slowVM.member];
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
  const target = new ReplicaTarget({
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

  const slowPoll = table.poll(slowVM.member);
  await new Promise(setImmediate);
  const checked = checker.check(target, members.map(({ vm }) => ({ vm, incarnation: 1 as never })));
  await new Promise(setImmediate);
  void table.poll(lostVM.member);
  await slowPoll;
  expect(await checked).toMatchObject({ kind: 'invalid', reason: 'member-unseen' });

  await agent.destroy();
  [lostVM, slowVM].forEach(({ server }) => {
    server.closeAllConnections();
    server.close();
  });
});
