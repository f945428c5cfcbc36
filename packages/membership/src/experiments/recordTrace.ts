import { writeFile } from 'node:fs/promises';
import { SeededRandom } from '@dandelionlane/core';
import Membership from '../lib/membership/Membership.js';
import type MembershipEvent from '../lib/membership/MembershipEvent.js';
import MembershipSettings from '../lib/membership/MembershipSettings.js';
import createFakeNetwork from './createFakeNetwork.js';
import createEntryRecords from './createEntryRecords.js';
import startEntries from './startEntries.js';

const SEED = 5;
const ENTRIES = 4;
const [path] = process.argv.slice(2);

/** Records the events of one entry while a second crashes and restarts and a third leaves. */
function recordEvents(): object {
  const records = createEntryRecords(ENTRIES, 1);
  const self = records[0]!;
  const events: { atMilliseconds: number; event: MembershipEvent }[] = [];
  const network = createFakeNetwork({
    seed: SEED,
    loss: 0.05,
    maximumDelayMilliseconds: 20,
    createMembership: (record, random) => {
      const isRecorded = record.entry === self.entry;
      const membership = new Membership({
        self: record,
        random: isRecorded ? new SeededRandom(SEED) : random,
        settings: MembershipSettings.parse({}),
      });
      return {
        step: (event, now) => {
          if (isRecorded) {
            events.push({ atMilliseconds: now, event });
          }
          return membership.step(event, now);
        },
        members: () => membership.members(),
        remoteEntries: () => membership.remoteEntries(),
      };
    },
  });
  const entries = startEntries(network, records);
  network.runFor(4_000);
  network.crash(records[1]!.entry);
  network.runFor(12_000);
  network.restart(entries[1]!, [{ kind: 'entry', entry: self }]);
  network.runFor(4_000);
  network.leave(entries[2]!);
  network.runFor(4_000);
  return { self, seed: SEED, events };
}

await writeFile(path ?? '/dev/stdout', `${JSON.stringify(recordEvents())}\n`);
