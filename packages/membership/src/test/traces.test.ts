import { readdir, readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { SeededRandom } from '@dandelionlane/core';
import { expect, test } from 'vitest';
import type RecordedTrace from '../experiments/RecordedTrace.js';
import { Membership, MembershipSettings } from '../index.js';

const directory = fileURLToPath(new URL('./traces', import.meta.url));
const files = (await readdir(directory)).filter((file) => file.endsWith('.json'));

function statesOf(membership: Membership): readonly string[] {
  return membership.members()
    .map(({ entry, state }) => `${entry.entry} ${entry.incarnation} ${state}`)
    .sort();
}

test.each(files)('replay of %s yields the expected states', async (file) => {
  const trace = JSON.parse(await readFile(`${directory}/${file}`, 'utf8')) as RecordedTrace;
  const membership = new Membership({
    self: trace.self, random: new SeededRandom(trace.seed), settings: MembershipSettings.parse({}),
  });
  const events = [...trace.events];
  trace.outcome.forEach(({ afterMilliseconds, states }) => {
    while (events.length > 0 && events[0]!.atMilliseconds <= afterMilliseconds) {
      const { event, atMilliseconds } = events.shift()!;
      membership.step(event, atMilliseconds);
    }
    expect(statesOf(membership)).toEqual(states
      .map(({ entry, incarnation, state }) => `${entry} ${incarnation} ${state}`)
      .sort());
  });
});
