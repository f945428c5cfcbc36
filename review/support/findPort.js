import { createServer } from 'node:net';

const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

function listenAt(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** Finds a number of consecutive free ports, below those that the system gives out. Resolves to the first. */
export default async function findPort(count) {
  const first = FIRST_PORT + Math.floor((LAST_PORT - FIRST_PORT) * Math.random());
  const servers = await Promise.all(Array.from({ length: count }, (_, index) => listenAt(first + index)));
  const open = servers.filter((server) => server !== null);
  await Promise.all(open.map((server) => new Promise((resolve) => {
    server.close(resolve);
  })));
  return open.length === count ? first : findPort(count);
}
