import type { RandomSource } from '@dandelionlane/core';
import type EntryPorts from './EntryPorts.js';
import listenAt from './listenAt.js';

/**
 * Ports below those that systems give out for port 0, which start at 32768 or later: an entry that
 * is killed comes back at its ports, and no other process may have been given them meanwhile.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

const PORTS = 5;

/** Finds ports for an entry that are free now. */
export default async function findPorts(random: RandomSource): Promise<EntryPorts> {
  const callers = FIRST_PORT + Math.floor((LAST_PORT - FIRST_PORT - PORTS) * random.next());
  const found = await Promise.all(Array.from({ length: PORTS }, (_, index) => listenAt(callers + index)));
  const free = found.flatMap((each) => each ?? []);
  await Promise.all(free.map((server) => new Promise((resolve) => {
    server.close(resolve);
  })));
  return free.length < PORTS
    ? findPorts(random)
    : {
      callers, directory: callers + 1, readiness: callers + 2, internal: callers + 3,
    };
}
