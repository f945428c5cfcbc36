import type { ServerResponse } from 'node:http';

const CHUNK = Buffer.alloc(64 * 1_024, 0x61);

/** Interim heads, about as many bytes. */
const INTERIM_HEADS = Buffer.from('HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'.repeat(1_800));

/** Pause between two writes on one connection, in ms: some MB a second on each. */
const PAUSE_MILLISECONDS = 15;

/** Writes a body, or heads that are no answer, until the entry closes the connection. */
export default function writeEndlessly(outgoing: ServerResponse, kind: 'body' | 'interim-heads'): void {
  const { socket } = outgoing;
  if (kind === 'body') {
    outgoing.writeHead(200);
  }
  const write = () => {
    if (outgoing.destroyed || socket === null || socket.destroyed) {
      return;
    }
    const isTaken = kind === 'body' ? outgoing.write(CHUNK) : socket.write(INTERIM_HEADS);
    if (isTaken) {
      setTimeout(write, PAUSE_MILLISECONDS).unref();
    } else {
      socket.once('drain', write);
    }
  };
  write();
}
