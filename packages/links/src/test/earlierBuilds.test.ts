import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import EntryStatus from '../lib/EntryStatus.js';
import HolderMessage from '../lib/HolderMessage.js';
import decodeFrame from '../lib/decodeFrame.js';

/** Frames that an earlier build has sent, in base64, by the name of its commit. */
function readRecording(commit: string): Readonly<Record<'status' | 'state' | 'redirect', Buffer>> {
  const file = new URL(`recordings/${commit}.json`, import.meta.url);
  // eslint-disable-next-line n/no-sync -- a small file, read once
  const { status, state, redirect } = JSON.parse(readFileSync(file, 'utf8')) as Record<string, string>;
  return {
    status: Buffer.from(status ?? '', 'base64'),
    state: Buffer.from(state ?? '', 'base64'),
    redirect: Buffer.from(redirect ?? '', 'base64'),
  };
}

const COMMITS = ['3927eaa'];

// Guards against links that end during an upgrade: a newer build needs nothing that earlier ones lack.
test.each(COMMITS)('a status of build %s is read', (commit) => {
  expect(decodeFrame(EntryStatus, readRecording(commit).status)._unsafeUnwrap()).toMatchObject({
    entry: 'edge-a-1',
    leaving: [{ id: 'i-1', bornAt: 1_791_000_000_001 }],
    targets: [{ worker: 'i-3', formation: 'g2/8' }],
    promptParts: [],
    trialsSought: [],
    limits: [],
  });
});

test.each(COMMITS)('messages of a holder of build %s are read', (commit) => {
  const { state, redirect } = readRecording(commit);
  expect(decodeFrame(HolderMessage, state)._unsafeUnwrap()).toMatchObject({
    kind: 'state', holder: 'edge-b-1', whole: true, promptParts: [], trials: [], limits: [],
  });
  expect(decodeFrame(HolderMessage, redirect)._unsafeUnwrap())
    .toEqual({ kind: 'redirect', address: '10.2.0.29:7340' });
});
