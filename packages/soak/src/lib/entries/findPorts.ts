import type EntryPorts from './EntryPorts.js';
import listenAt from './listenAt.js';

/** Finds ports for an entry that are free now. */
export default async function findPorts(): Promise<EntryPorts> {
  const found = await Promise.all([0, 0, 0, 0].map((port) => listenAt(port)));
  const internal = found[3]?.port ?? 0;
  const bound = [...found, await listenAt(internal + 1)].flatMap((each) => each ?? []);
  await Promise.all(bound.map(({ server }) => new Promise((resolve) => {
    server.close(resolve);
  })));
  const [callers, directory, readiness] = bound.map(({ port }) => port);
  const isWhole = bound.length > found.length;
  return !isWhole || callers === undefined || directory === undefined || readiness === undefined
    ? findPorts()
    : {
      callers, directory, readiness, internal,
    };
}
