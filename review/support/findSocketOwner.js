import { readFile, readdir, readlink } from 'node:fs/promises';

const HEXADECIMAL = 16;

/** Columns of `/proc/net/tcp`. */
const LOCAL_ADDRESS_COLUMN = 1;
const REMOTE_ADDRESS_COLUMN = 2;
const INODE_COLUMN = 9;

function readPort(address) {
  return parseInt(address.split(':')[1], HEXADECIMAL);
}

async function findInode(localPort, remotePort) {
  const lines = (await readFile('/proc/net/tcp', 'utf8')).trim().split('\n').slice(1);
  const columns = lines.map((line) => line.trim().split(/\s+/));
  const found = columns.find((fields) => readPort(fields[LOCAL_ADDRESS_COLUMN]) === localPort
    && readPort(fields[REMOTE_ADDRESS_COLUMN]) === remotePort);
  return found?.[INODE_COLUMN] ?? null;
}

async function hasSocket(processId, inode) {
  const directory = `/proc/${processId}/fd`;
  const names = await readdir(directory).catch(() => []);
  const targets = await Promise.all(names.map((name) => readlink(`${directory}/${name}`).catch(() => '')));
  return targets.includes(`socket:[${inode}]`);
}

/** Finds which of some processes has opened the other end of a connection that was accepted here, or null. */
export default async function findSocketOwner({ localPort, remotePort }, processIds) {
  const inode = await findInode(remotePort, localPort);
  const owns = inode === null ? [] : await Promise.all(processIds.map((id) => hasSocket(id, inode)));
  return processIds[owns.indexOf(true)] ?? null;
}
